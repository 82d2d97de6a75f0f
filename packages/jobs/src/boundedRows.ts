/**
 * Encodings of rows whose length depends on names from outside, within the length that the store allows.
 */
import type { FillerInterferenceState } from '@auburnpin/core'
import { encodeRow, type Term } from './rows.ts'

/**
 * Encodes a term in at most `maxBytes`. Without its row no term can be renewed, so what does not fit is left out: first the
 * forecasts of waits, then the counts of the queues with the longest names.
 *
 * @example
 * encodeTerm(term, store.maxValueBytes)
 */
export const encodeTerm = (term: Term, maxBytes: number): string => {
  const whole = encodeRow(term)
  if (Buffer.byteLength(whole) <= maxBytes) return whole
  let fitting: Term = term
  const excess = (): number => Buffer.byteLength(encodeRow(fitting)) - maxBytes
  if (excess() > 0) fitting = { ...fitting, waits: undefined, cells: fitting.cells === undefined ? undefined : { ...fitting.cells, waits: undefined } }
  if (excess() > 0) fitting = { ...fitting, pending: withoutLongestNames(fitting.pending, excess()) }
  if (excess() > 0 && fitting.cells !== undefined) fitting = { ...fitting, cells: { ...fitting.cells, pending: withoutLongestNames(fitting.cells.pending, excess()) } }
  return encodeRow(fitting)
}

/**
 * Encodes estimates in at most `maxBytes`; those of the images with the longest names are left out and learnt anew.
 *
 * @example
 * encodeEstimates(scheduler.interference.learnt, store.maxValueBytes)
 */
export const encodeEstimates = (state: FillerInterferenceState, maxBytes: number): string => {
  const whole = encodeRow(state)
  if (Buffer.byteLength(whole) <= maxBytes) return whole
  let { estimates: { bases, pairs }, shortest } = state
  const encode = (): string => encodeRow({ estimates: { bases, pairs }, shortest })
  const excess = (): number => Buffer.byteLength(encode()) - maxBytes
  if (excess() > 0) pairs = withoutLongest(pairs, excess())
  if (excess() > 0) bases = withoutLongest(bases, excess())
  if (excess() > 0) shortest = withoutLongestNames(shortest, excess())
  return encode()
}

const withoutLongestNames = (counts: Readonly<Record<string, number>>, excess: number): Readonly<Record<string, number>> =>
  Object.fromEntries(withoutLongest(Object.entries(counts), excess))

// Leaves out the entries with the longest encodings until `excess` bytes are saved, or none is left.
const withoutLongest = <Entry>(entries: readonly Entry[], excess: number): readonly Entry[] => {
  const longestFirst = entries.map(entry => ({ entry, bytes: Buffer.byteLength(JSON.stringify(entry)) })).sort((one, other) => other.bytes - one.bytes)
  const leftOut = new Set<Entry>()
  let saved = 0
  for (const { entry, bytes } of longestFirst) {
    if (saved >= excess) break
    leftOut.add(entry)
    // As a property of an object, an entry is one byte shorter than as a list.
    saved += bytes - 1
  }
  return entries.filter(entry => !leftOut.has(entry))
}
