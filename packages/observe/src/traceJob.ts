/**
 * One job's story from the logs of several processes.
 */

/** One record that tells of the job: its time, where it came from, and what it says. */
export type TracedRecord = Readonly<{ at: string, source: string, message: string, details: string }>

const TOLD_ELSEWHERE: ReadonlySet<string> = new Set(['at', 'level', 'component', 'message', 'job'])

/**
 * The records that name the id, in the order of their times, with `source` the text before the record or the
 * given name. Between the first and the last of them,
 * records of the processes' terms, of the store and of silent workers are kept too, as they explain gaps; lines that
 * aren't records are passed over. Times are each process's own time of day, which may differ by some milliseconds.
 *
 * @example
 * traceJob([{ name: 'edge-1.log', text }], '5c0e7a21d94b36f8')
 */
export const traceJob = (files: readonly Readonly<{ name: string, text: string }>[], id: string): TracedRecord[] => {
  const records: (TracedRecord & { isAbout: boolean })[] = []
  for (const { name, text } of files) {
    for (const line of text.split('\n')) {
      const isAbout = line.includes(id)
      if (!isAbout && !CONTEXT.test(line)) continue
      const record = readRecord(line, name)
      if (record !== undefined) records.push({ ...record, isAbout })
    }
  }
  records.sort((one, other) => one.at < other.at ? -1 : one.at > other.at ? 1 : 0)
  const first = records.findIndex(record => record.isAbout)
  const last = records.findLastIndex(record => record.isAbout)
  return records.slice(first < 0 ? 0 : first, last + 1).map(({ at, source, message, details }) => ({ at, source, message, details }))
}

/** Messages that explain what happened to any job at the time. */
const CONTEXT = /"message":"(?:Term |Store |Process |Worker does not report|Worker reports|All earlier runs)/

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
  const details = Object.entries(fields).filter(([key]) => !TOLD_ELSEWHERE.has(key)).map(([key, value]) => `${key}=${String(value)}`).join(' ')
  return { at: fields.at, source: prefix === '' ? name : prefix, message: fields.message, details }
}
