/**
 * The demo's callers.
 */
import { build } from 'hdr-histogram-js'
import { CALLERS, LONGEST_RECORDED_MS, ORDER_EVERY, REQUESTS } from './constants.ts'

/** What the callers saw. */
export type CallerFigures = Readonly<{ answered: number, p50Ms: number, p99Ms: number }>

type Exchange = Readonly<{ method: 'GET' | 'POST', path: string }>

const MEDIAN = 50
const TAIL = 99

/** The path of one request, which its answer must name. */
export const pathOf = (index: number): string => `/items/${index}`

/** Sends all requests, round the members in turn; counts those whose answer was whole and their own. */
export const sendRequests = async (service: string, addresses: readonly string[]): Promise<CallerFigures> => {
  const durations = build({ highestTrackableValue: LONGEST_RECORDED_MS })
  let next = 0
  let answered = 0
  const runCaller = async (): Promise<void> => {
    while (next < REQUESTS) {
      const index = next++
      const address = addresses[index % addresses.length] ?? ''
      const startedAt = performance.now()
      const exchange: Exchange = { method: index % ORDER_EVERY === 0 ? 'POST' : 'GET', path: pathOf(index) }
      if (await isAnswered(`http://${address}/${service}`, exchange)) answered++
      durations.recordValue(Math.round(performance.now() - startedAt))
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, runCaller))
  return { answered, p50Ms: durations.getValueAtPercentile(MEDIAN), p99Ms: durations.getValueAtPercentile(TAIL) }
}

const isAnswered = async (base: string, { method, path }: Exchange): Promise<boolean> => {
  try {
    const answer = await fetch(`${base}${path}`, { method, body: method === 'POST' ? path : undefined })
    const body = await answer.json() as { path?: string }
    return answer.status === 200 && body.path === path
  } catch {
    return false
  }
}
