/**
 * State of all jobs and workers at a time of a long day, from its events.
 */
import type { JobId } from '@auburnpin/common'
import { parseTaskName, type JobStep, type TaskName, type TaskNameParts } from '@auburnpin/core'
import type { WorkerEvent } from '@auburnpin/fakes'
import { DayJobState } from './DayJobState.ts'
import type { LongDayRecord } from './LongDayRecord.ts'

/** A worker's processors in thousandths of a core: what it offers, what tasks that are no fillers reserve of it, and long-running ones of that. */
export type DayWorker = { offered: number, reserved: number, lasting: number }

/**
 * Applies the events of a day in their order.
 *
 * @example
 * const replay = new DayReplay(record)
 * replay.advanceTo(12_000)
 * replay.openJobs(12_000)
 */
export class DayReplay {
  readonly jobs = new Map<JobId, DayJobState>()
  readonly workers = new Map<string, DayWorker>()
  /** Work of all tasks that end and were started so far, in thousandths of a core times milliseconds. */
  readonly startedWork = { filler: 0, other: 0 }
  readonly #record: LongDayRecord
  readonly #lastDone = new Map<TaskName, number>()
  #nextEvent = 0
  #nextOffer = 0

  constructor (record: LongDayRecord) {
    this.#record = record
    for (const job of record.jobs) this.jobs.set(job.id, new DayJobState(job))
    for (const { kind, task, how, at } of record.events) if (kind === 'ended' && how === 'done') this.#lastDone.set(task, at)
  }

  advanceTo (at: number): void {
    const { offers, events } = this.#record
    for (let offer = offers[this.#nextOffer]; offer !== undefined && offer.at <= at; offer = offers[++this.#nextOffer]) this.#workerOf(offer.worker).offered = offer.processors
    for (let event = events[this.#nextEvent]; event !== undefined && event.at <= at; event = events[++this.#nextEvent]) this.#apply(event)
  }

  openJobs (at: number): readonly DayJobState[] {
    return [...this.jobs.values()].filter(state => state.isOpen(at))
  }

  /** Processors that all workers offer, less those that `without` counts of each. */
  offeredWithout (without: (worker: DayWorker) => number): number {
    let sum = 0
    for (const worker of this.workers.values()) sum += Math.max(0, worker.offered - without(worker))
    return sum
  }

  /** Processors that no task but fillers reserves on the emptiest worker. */
  get mostRoom (): number {
    return Math.max(0, ...[...this.workers.values()].map(({ offered, reserved }) => offered - reserved))
  }

  /** Processors that tasks which are no fillers reserve on workers that offer some. */
  get reserved (): number {
    let sum = 0
    for (const { offered, reserved } of this.workers.values()) if (offered > 0) sum += reserved
    return sum
  }

  #apply ({ kind, worker, task, how, at }: WorkerEvent): void {
    const { job, step } = parseTaskName(task) as TaskNameParts
    const state = this.jobs.get(job)
    const shape = state?.job.steps[step]
    if (state === undefined || shape === undefined) throw new Error(`unknown task ${task}`)
    if (kind === 'unacknowledged') {
      if (how === 'done' && this.#isLost(state, task, at)) state.setDone(task, step, false, at)
      return
    }
    this.#reserve(worker, shape, kind === 'started' ? 1 : -1)
    if (kind === 'started') {
      state.runs++
      if (!shape.isLasting) this.startedWork[shape.isFiller ? 'filler' : 'other'] += state.taskWork(step)
    } else {
      state.endRun(at)
      if (how === 'done') state.setDone(task, step, true, at)
    }
  }

  // The owner may know an end that it has not acknowledged, and learns of some when their worker is back.
  #isLost ({ job }: DayJobState, task: TaskName, at: number): boolean {
    return !job.isCompleted || (this.#lastDone.get(task) ?? 0) > at
  }

  #reserve (id: string, { processors, isFiller, isLasting }: JobStep, sign: 1 | -1): void {
    const worker = this.#workerOf(id)
    if (!isFiller) worker.reserved += sign * processors
    if (isLasting) worker.lasting += sign * processors
  }

  #workerOf (id: string): DayWorker {
    const known = this.workers.get(id) ?? { offered: 0, reserved: 0, lasting: 0 }
    this.workers.set(id, known)
    return known
  }
}
