/**
 * Encoding of progress within the size of a row.
 */
import type { JobProgress } from '@auburnpin/core'
import { encodeRow } from './rows.ts'

/** The value of a row of progress, and how many checkpoints it leaves out. */
export type EncodedProgress = Readonly<{ value: string, omittedCheckpoints: number }>

/**
 * Encodes progress in at most `maxBytes`. If it is longer, the longest checkpoints are left out: their tasks begin anew
 * under the next owner, unless a worker still runs them, whereas all else must last.
 *
 * @example
 * encodeProgress(segment.progress, store.maxValueBytes).value
 */
export const encodeProgress = (progress: JobProgress, maxBytes: number): EncodedProgress => {
  const whole = encodeRow(progress)
  let excess = Buffer.byteLength(whole) - maxBytes
  if (excess <= 0) return { value: whole, omittedCheckpoints: 0 }
  const kept = new Map(Object.entries(progress.checkpoints))
  const longestFirst = [...kept].sort(([, one], [, other]) => Buffer.byteLength(other) - Buffer.byteLength(one))
  for (const entry of longestFirst) {
    if (excess <= 0) break
    kept.delete(entry[0])
    excess -= bytesOf(entry)
  }
  return { value: encodeRow({ ...progress, checkpoints: Object.fromEntries(kept) }), omittedCheckpoints: longestFirst.length - kept.size }
}

// Without the comma, which the last entry doesn't have.
const bytesOf = ([key, checkpoint]: readonly [string, string]): number => Buffer.byteLength(`${JSON.stringify(key)}:${JSON.stringify(checkpoint)}`)
