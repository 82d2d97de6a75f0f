/**
 * What really happened, counted by the stand-ins themselves and not by the program that is shown.
 */
import type { StandInRegion, StandInWorker } from '@auburnpin/stand-in'
import { ORDER_EVERY, REQUESTS } from './constants.ts'
import { pathOf } from './sendRequests.ts'

const SAMPLE_MS = 20

/** Looks at all workers at short intervals for a task that runs in two places. */
export class OverlapWatch {
  readonly #workers: readonly StandInWorker[]
  readonly #overlapping = new Set<string>()
  #timer: NodeJS.Timeout | undefined

  constructor (region: StandInRegion) {
    this.#workers = [...region.workers.values()]
  }

  start (): void {
    this.#timer = setInterval(() => this.look(), SAMPLE_MS)
  }

  /** Ends the looking and tells how many tasks were seen in two places. */
  stop (): number {
    clearInterval(this.#timer)
    return this.#overlapping.size
  }

  /** Looks once. */
  look (): void {
    const seen = new Set<string>()
    for (const worker of this.#workers) {
      for (const { state, start } of worker.state.entries) {
        if (state !== 'running') continue
        if (seen.has(start.id)) this.#overlapping.add(start.id)
        seen.add(start.id)
      }
    }
  }
}

/** VMs that were committed beyond their resources. */
export const countOvercommitted = (region: StandInRegion): number => {
  let broken = 0
  for (const { state: { mostCommitted: most }, room } of region.workers.values()) {
    const isWithin = most.processors <= room.processors && most.memoryMb <= room.memoryMb && most.accelerators <= room.accelerators
    if (!isWithin) broken++
  }
  return broken
}

/** Tasks of the given ones that finished exactly once, by the workers' own record. */
export const countFinishedOnce = (region: StandInRegion, tasks: readonly string[]): number => {
  const finished = new Map<string, number>()
  for (const worker of region.workers.values()) {
    for (const event of worker.state.events) {
      if (event.end === 'finished') finished.set(event.id, (finished.get(event.id) ?? 0) + 1)
    }
  }
  return tasks.filter(task => finished.get(task) === 1).length
}

/** Attempts stopped by a worker that had to run again. */
export const countStopped = (region: StandInRegion, tasks: readonly string[]): number => {
  let stopped = 0
  for (const worker of region.workers.values()) {
    stopped += worker.state.events.filter(event => event.end === 'stopped' && tasks.includes(event.id)).length
  }
  return stopped
}

/** Requests that may not be repeated and were run more than once, by the endpoints' own record. */
export const countRepeated = (region: StandInRegion): number => {
  const runs = new Map<string, number>()
  for (const worker of region.workers.values()) {
    for (const endpoint of worker.endpoints) {
      for (const { path } of endpoint.runs) runs.set(path, (runs.get(path) ?? 0) + 1)
    }
  }
  let repeated = 0
  for (let index = 0; index < REQUESTS; index += ORDER_EVERY) {
    if ((runs.get(pathOf(index)) ?? 0) > 1) repeated++
  }
  return repeated
}
