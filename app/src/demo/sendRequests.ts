/**
 * Sends the demo's requests.
 */
import { build } from 'hdr-histogram-js'
import { CONCURRENT_CALLERS, MAX_RECORDED_MS, NON_IDEMPOTENT_INTERVAL, REQUEST_COUNT } from './constants.ts'

/** Result of all requests, as the callers measured it. */
export type RequestSummary = Readonly<{ answered: number, p50Ms: number, p99Ms: number }>

type DemoRequest = Readonly<{ method: 'GET' | 'POST', path: string }>

const P50 = 50
const P99 = 99

/** Path of a request; the response must contain it. */
export const requestPath = (index: number): string => `/items/${index}`

/** Sends all requests to the members in rotation, and counts those that got a complete response to their own path. */
export const sendRequests = async (service: string, addresses: readonly string[]): Promise<RequestSummary> => {
  const durations = build({ highestTrackableValue: MAX_RECORDED_MS })
  let next = 0
  let answered = 0
  const runCaller = async (): Promise<void> => {
    while (next < REQUEST_COUNT) {
      const index = next++
      const address = addresses[index % addresses.length] ?? ''
      const startedAt = performance.now()
      const request: DemoRequest = { method: index % NON_IDEMPOTENT_INTERVAL === 0 ? 'POST' : 'GET', path: requestPath(index) }
      if (await sendRequest(`http://${address}/${service}`, request)) answered++
      durations.recordValue(Math.round(performance.now() - startedAt))
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, runCaller))
  return { answered, p50Ms: durations.getValueAtPercentile(P50), p99Ms: durations.getValueAtPercentile(P99) }
}

const sendRequest = async (base: string, { method, path }: DemoRequest): Promise<boolean> => {
  try {
    const response = await fetch(`${base}${path}`, { method, body: method === 'POST' ? path : undefined })
    const body = await response.json() as { path?: string }
    return response.status === 200 && body.path === path
  } catch {
    return false
  }
}
