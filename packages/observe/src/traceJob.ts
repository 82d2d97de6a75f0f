/**
 * Collects the timeline of one job from the logs of several processes.
 */

/** One log record of the timeline; `source` is the process or file that it comes from. */
export type TracedRecord = Readonly<{ at: string, source: string, message: string, details: string }>

/** Fields that are not repeated in `details`. */
const SEPARATE_FIELDS: ReadonlySet<string> = new Set(['at', 'level', 'component', 'message', 'job'])

/**
 * Returns the records that contain the job's id, ordered by time; `source` is the last word before the JSON record, or
 * else the name of the file. Between the first and the last of them it includes records about processes, terms, the
 * store and unresponsive workers, as they explain gaps. Lines that aren't records are skipped. The times come from the
 * clocks of different processes, which may differ by some milliseconds.
 *
 * @example
 * traceJob([{ name: 'edge-1.log', text }], '5c0e7a21d94b36f8')
 */
export const traceJob = (files: readonly Readonly<{ name: string, text: string }>[], id: string): TracedRecord[] => {
  const records: (TracedRecord & { mentionsJob: boolean })[] = []
  for (const { name, text } of files) {
    for (const line of text.split('\n')) {
      const mentionsJob = line.includes(id)
      if (!mentionsJob && !CONTEXT_MESSAGE.test(line)) continue
      const record = readRecord(line, name)
      if (record !== undefined) records.push({ ...record, mentionsJob })
    }
  }
  records.sort((one, other) => one.at < other.at ? -1 : one.at > other.at ? 1 : 0)
  const first = records.findIndex(record => record.mentionsJob)
  const last = records.findLastIndex(record => record.mentionsJob)
  return records.slice(first < 0 ? 0 : first, last + 1).map(({ at, source, message, details }) => ({ at, source, message, details }))
}

/** Messages about processes, terms, the store and workers; they may explain what happened to any job at the time. */
const CONTEXT_MESSAGE = /"message":"(?:Term |Store |Process |Worker does not report|Worker reports|All earlier runs)/

const readRecord = (line: string, name: string): TracedRecord | undefined => {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  let fields: Readonly<Record<string, unknown>>
  try {
    fields = JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>
  } catch {
    return undefined
  }
  if (typeof fields.at !== 'string' || typeof fields.message !== 'string') return undefined
  const prefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? ''
  const details = Object.entries(fields).filter(([key]) => !SEPARATE_FIELDS.has(key)).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return { at: fields.at, source: prefix === '' ? name : prefix, message: fields.message, details }
}
