/**
 * Encodings of rows whose length depends on names from outside, within the length that the store allows.
 */
import type { FillerInterferenceState } from '@auburnpin/core'
import { encodeRow, type Term } from './rows.ts'

const bytesOf = (text: string): number => Buffer.byteLength(text)

/**
 * Encodes a term in at most `maxBytes`. Without its row no term can be renewed, so what does not fit is left out: first the
 * forecasts of waits, then the counts of the queues with the longest names.
 *
 * @example
 * encodeTerm(term, store.maxValueBytes)
 */
export const encodeTerm = (term: Term, maxBytes: number): string => {
  const whole = encodeRow(term)
  if (bytesOf(whole) <= maxBytes) return whole
  const { waits, cells, ...rest } = term
  const withoutWaits: Term = cells === undefined ? rest : { ...rest, cells: { layoutVersion: cells.layoutVersion, loads: cells.loads, pending: cells.pending } }
  const encoded = encodeRow(withoutWaits)
  if (bytesOf(encoded) <= maxBytes) return encoded
  const excess = bytesOf(encoded) - maxBytes
  const pending = withoutLongest(Object.entries(term.pending), excess)
  const left = excess - (bytesOf(encodeRow(withoutWaits)) - bytesOf(encodeRow({ ...withoutWaits, pending: Object.fromEntries(pending) })))
  const shorter: Term = { ...withoutWaits, pending: Object.fromEntries(pending) }
  if (left <= 0 || cells === undefined) return encodeRow(shorter)
  return encodeRow({ ...shorter, cells: { layoutVersion: cells.layoutVersion, loads: cells.loads, pending: Object.fromEntries(withoutLongest(Object.entries(cells.pending), left)) } })
}

/**
 * Encodes estimates in at most `maxBytes`; those of the images with the longest names are left out and learnt anew.
 *
 * @example
 * encodeEstimates(scheduler.interference.learnt, store.maxValueBytes)
 */
export const encodeEstimates = (state: FillerInterferenceState, maxBytes: number): string => {
  const whole = encodeRow(state)
  const excess = bytesOf(whole) - maxBytes
  if (excess <= 0) return whole
  const { estimates: { bases, pairs }, shortest } = state
  const all = [...bases.map(entry => ['bases', entry] as const), ...pairs.map(entry => ['pairs', entry] as const), ...Object.entries(shortest).map(entry => ['shortest', entry] as const)]
  const kept = withoutLongest(all, excess)
  const ofKind = <Kind extends typeof kept[number][0]>(kind: Kind): Extract<typeof kept[number], readonly [Kind, unknown]>[1][] =>
    kept.flatMap(entry => entry[0] === kind ? [entry[1] as Extract<typeof kept[number], readonly [Kind, unknown]>[1]] : [])
  return encodeRow({ estimates: { bases: ofKind('bases'), pairs: ofKind('pairs') }, shortest: Object.fromEntries(ofKind('shortest')) })
}

// Leaves out the entries with the longest encodings until `excess` bytes are saved.
const withoutLongest = <Entry>(entries: readonly Entry[], excess: number): readonly Entry[] => {
  const longestFirst = entries.map(entry => ({ entry, bytes: bytesOf(JSON.stringify(entry)) })).sort((one, other) => other.bytes - one.bytes)
  const leftOut = new Set<Entry>()
  let saved = 0
  for (const { entry, bytes } of longestFirst) {
    if (saved >= excess) break
    leftOut.add(entry)
    // An entry of a list or an object has at least this much less than a list of its own.
    saved += Math.max(0, bytes - '["bases",]'.length)
  }
  return entries.filter(entry => !leftOut.has(entry))
}
