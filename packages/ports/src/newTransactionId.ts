/**
 * Transaction ids that are unique across all processes.
 */
import { brand, type Random, type TransactionId } from '@auburnpin/common'

// 20 characters of 5 bits are 100 random bits, enough that no id repeats while an installation exists.
const TRANSACTION_ID_LENGTH = 20

/** Creates a new transaction id. */
export const newTransactionId = (random: Random): TransactionId => brand<TransactionId>(random.id(TRANSACTION_ID_LENGTH))
