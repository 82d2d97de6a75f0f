/**
 * Counts the demo's outcomes from the stand-ins' own records, independently of the members.
 */
import type { StandInRegion, StandInWorker } from '@auburnpin/stand-in'
import { NON_IDEMPOTENT_INTERVAL, REQUEST_COUNT } from './constants.ts'
import { requestPath } from './sendRequests.ts'

const SAMPLE_INTERVAL_MS = 20

/** Samples all workers at short intervals to detect tasks that run on two workers at once. */
export class OverlapDetector {
  readonly #workers: readonly StandInWorker[]
  readonly #overlapping = new Set<string>()
  #timer: NodeJS.Timeout | undefined

  constructor (region: StandInRegion) {
    this.#workers = [...region.workers.values()]
  }

  start (): void {
    this.#timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS)
  }

  /** Stops sampling and returns the number of tasks that ran on two workers at once. */
  stop (): number {
    clearInterval(this.#timer)
    return this.#overlapping.size
  }

  /** Takes one sample. */
  sample (): void {
    const runningIds = new Set<string>()
    for (const worker of this.#workers) {
      for (const { state, start } of worker.state.entries) {
        if (state !== 'running') continue
        if (runningIds.has(start.id)) this.#overlapping.add(start.id)
        runningIds.add(start.id)
      }
    }
  }
}

/** Counts the VMs that were committed beyond their resources. */
export const countOvercommittedVms = (region: StandInRegion): number => {
  let overcommitted = 0
  for (const { state: { peakCommitted: peak }, room } of region.workers.values()) {
    const isWithin = peak.processors <= room.processors && peak.memoryMb <= room.memoryMb && peak.accelerators <= room.accelerators
    if (!isWithin) overcommitted++
  }
  return overcommitted
}

/** Counts the given tasks that finished exactly once according to the workers' events. */
export const countFinishedOnce = (region: StandInRegion, tasks: readonly string[]): number => {
  const finished = new Map<string, number>()
  for (const worker of region.workers.values()) {
    for (const event of worker.state.events) {
      if (event.end === 'finished') finished.set(event.id, (finished.get(event.id) ?? 0) + 1)
    }
  }
  return tasks.filter(task => finished.get(task) === 1).length
}

/** Counts the attempts of the given tasks that workers stopped; each of them had to run again. */
export const countStoppedAttempts = (region: StandInRegion, tasks: readonly string[]): number => {
  let stopped = 0
  for (const worker of region.workers.values()) {
    stopped += worker.state.events.filter(event => event.end === 'stopped' && tasks.includes(event.id)).length
  }
  return stopped
}

/** Counts the non-idempotent requests that endpoints processed more than once. */
export const countRepeatedRequests = (region: StandInRegion): number => {
  const runs = new Map<string, number>()
  for (const worker of region.workers.values()) {
    for (const endpoint of worker.endpoints) {
      for (const { path } of endpoint.handledRequests) runs.set(path, (runs.get(path) ?? 0) + 1)
    }
  }
  let repeated = 0
  for (let index = 0; index < REQUEST_COUNT; index += NON_IDEMPOTENT_INTERVAL) {
    if ((runs.get(requestPath(index)) ?? 0) > 1) repeated++
  }
  return repeated
}
