/**
 * Proofs that a peer has a shared key, made without sending the key.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { MemberId } from '@auburnpin/common'
import type { PeerKey } from './types.ts'

/** The side of a connection that makes a proof; a proof is not valid for the other side, so it can't be reflected. */
export type ConnectionSide = 'caller' | 'listener'

/** Returns the proof that `member` sends from one side of a connection in response to the other side's nonce. */
export const makeProof = (key: PeerKey, nonce: string, member: MemberId, side: ConnectionSide): string =>
  createHmac('sha256', key.secret).update(`${side}\n${nonce}\n${member}`).digest('base64url')

/** Whether the proof was made with one of the keys. */
export const isValidProof = (keys: readonly PeerKey[], keyId: string, nonce: string, member: MemberId, side: ConnectionSide, proof: string): boolean => {
  const key = keys.find(candidate => candidate.id === keyId)
  if (key === undefined) return false
  const expected = Buffer.from(makeProof(key, nonce, member, side))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
