/**
 * Ids of transactions, unique over all processes.
 */
import { brand, type Random, type TransactionId } from '@auburnpin/common'

// 20 characters of 5 bits: a repeat within the life of an installation is out of the question.
const TRANSACTION_ID_LENGTH = 20

/** A new id. */
export const newTransactionId = (random: Random): TransactionId => brand<TransactionId>(random.id(TRANSACTION_ID_LENGTH))
