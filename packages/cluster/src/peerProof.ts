/**
 * Proof that a peer knows a shared key, without telling it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { MemberId } from '@auburnpin/common'
import type { PeerKey } from './types.ts'

/** The proof for one challenge. */
export const makeProof = (key: PeerKey, nonce: string, member: MemberId): string =>
  createHmac('sha256', key.secret).update(`${nonce}\n${member}`).digest('base64url')

/** Whether the proof was made with one of the keys. */
export const isProven = (keys: readonly PeerKey[], keyId: string, nonce: string, member: MemberId, proof: string): boolean => {
  const key = keys.find(candidate => candidate.id === keyId)
  if (key === undefined) return false
  const expected = Buffer.from(makeProof(key, nonce, member))
  const given = Buffer.from(proof)
  return expected.length === given.length && timingSafeEqual(expected, given)
}
