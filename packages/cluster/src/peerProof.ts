/**
 * Proof that a peer knows a shared key, without telling it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { MemberId } from '@auburnpin/common'
import type { PeerKey } from './types.ts'

/** Which end of a link proves itself; a proof of one end is no proof of the other. */
export type LinkEnd = 'caller' | 'listener'

/** The proof of `member` at one end of a link, for the other end's challenge. */
export const makeProof = (key: PeerKey, nonce: string, member: MemberId, end: LinkEnd): string =>
  createHmac('sha256', key.secret).update(`${end}\n${nonce}\n${member}`).digest('base64url')

/** Whether the proof was made with one of the keys. */
export const isProven = (keys: readonly PeerKey[], keyId: string, nonce: string, member: MemberId, end: LinkEnd, proof: string): boolean => {
  const key = keys.find(candidate => candidate.id === keyId)
  if (key === undefined) return false
  const expected = Buffer.from(makeProof(key, nonce, member, end))
  const given = Buffer.from(proof)
  return expected.length === given.length && timingSafeEqual(expected, given)
}
