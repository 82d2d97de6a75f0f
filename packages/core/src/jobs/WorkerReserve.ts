/**
 * The part of the workers that is closed to new long-running tasks.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { RESERVED_WORKER_SHARE } from './constants.ts'
import { freeForShortTasks, usableProcessors } from './usableProcessors.ts'
import { groupByService, reservedCount, reserveForDemand, reserveWorkers } from './reserveWorkers.ts'
import { type Demand, isShort, ShortTaskDemand } from './ShortTaskDemand.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

const NONE: ReadonlySet<WorkerRecord> = new Set()

/** While less than this share of a service is in use, tasks that fit on no open worker may use a reserved one. */
const IDLE_SHARE = 0.5

/** The workers that one scheduling pass closes. */
export class ReservedWorkers {
  /** Closed to serving tasks that have not run. */
  readonly constant: ReadonlySet<WorkerRecord>
  /** Closed to long-running tasks that have not run, as the demand of short tasks is above the constant share. */
  readonly added: ReadonlySet<WorkerRecord>
  readonly #candidates: readonly WorkerRecord[]
  readonly #closed = new Map<string, ReadonlySet<WorkerRecord>>()
  readonly #open = new Map<ReadonlySet<WorkerRecord>, readonly WorkerRecord[]>()

  constructor (candidates: readonly WorkerRecord[], added = NONE, constant = reserveWorkers(candidates)) {
    this.#candidates = candidates
    this.constant = constant
    this.added = added
  }

  isClosedTo (task: TaskRecord, worker: WorkerRecord): boolean {
    return this.#closedTo(task).has(worker)
  }

  /** The candidates that are open to a task. */
  openTo (task: TaskRecord): readonly WorkerRecord[] {
    const closed = this.#closedTo(task)
    let open = this.#open.get(closed)
    if (open === undefined) {
      open = this.#candidates.filter(worker => !closed.has(worker))
      this.#open.set(closed, open)
    }
    return open
  }

  /**
   * The workers of the constant share that a serving task may use as it fits on no other: those of its service while under
   * half of the service's processors are in use. Those that are reserved for a measured demand stay closed.
   */
  lastResortFor ({ isNewServing, step: { job: { job: { policy: { service } } } } }: TaskRecord): readonly WorkerRecord[] {
    if (!isNewServing || !this.#isHalfIdle(service)) return []
    return [...this.constant].filter(worker => worker.entry.service === service && !this.added.has(worker))
  }

  #isHalfIdle (service: ServiceName): boolean {
    let used = 0
    let all = 0
    for (const { processorsUsed, entry } of this.#candidates) {
      if (entry.service !== service) continue
      used += processorsUsed
      all += entry.processors
    }
    return used < all * IDLE_SHARE
  }

  #closedTo (task: TaskRecord): ReadonlySet<WorkerRecord> {
    const { isNewServing, step: { shape: { requiredLabel }, job: { job: { policy: { service } } } } } = task
    const isLongRunning = isNewLongRunning(task)
    if (!isNewServing && !isLongRunning) return NONE
    const key = JSON.stringify([isNewServing, isLongRunning, ...(requiredLabel === '' ? [] : [service, requiredLabel])])
    let closed = this.#closed.get(key)
    if (closed === undefined) {
      const constant = isNewServing ? this.constant : NONE
      const added = isLongRunning ? this.added : NONE
      closed = requiredLabel === '' ? new Set([...constant, ...added]) : closeAmong(this.#candidates.filter(({ entry }) => entry.service === service && entry.labels.includes(requiredLabel)), constant, added)
      this.#closed.set(key, closed)
    }
    return closed
  }
}

/**
 * The closed ones of the workers that a task can use: at most the constant share of them and what a measured demand adds,
 * or only the constant share if no worker were open otherwise.
 */
const closeAmong = (workers: readonly WorkerRecord[], constant: ReadonlySet<WorkerRecord>, added: ReadonlySet<WorkerRecord>): ReadonlySet<WorkerRecord> => {
  const reserved = workers.filter(worker => constant.has(worker)).sort((one, other) => one.entry.id < other.entry.id ? 1 : -1).slice(0, reservedCount(workers.length))
  const closed = new Set([...reserved, ...workers.filter(worker => added.has(worker))])
  return closed.size < workers.length ? closed : new Set(reserved)
}

/** The reserve of one service in one data centre. Processors are in thousandths of a core. */
export type DataCentreReserve = { workers: number, reserved: number, usable: number, free: number, largestFree: number }

/** The reserve of one service; `dataCentres` by the name of the data centre. */
export type ServiceReserve = Readonly<{
  service: ServiceName
  /** `undefined` while short tasks find room without waiting, so that only the constant share is reserved. */
  demand: Demand | undefined
  /** Number of workers of the constant share, and of those added to it. */
  constant: number
  added: number
  /** Processors of the reserved workers that short tasks can use. */
  usable: number
  /** What keeps the reserve below the demand: `share` if the largest share is reached, `workers` if no other worker has room for a short task. */
  limit: 'none' | 'share' | 'workers'
  dataCentres: ReadonlyMap<string, DataCentreReserve>
}>

/**
 * Reserves workers for short tasks: the constant share, and beyond it what the measured demand needs, up to `maxShare` of
 * the processors of a service. Addresses long-running tasks that take whatever short tasks leave free between two waves of load
 * and keep it. With a `maxShare` of no more than the constant share, nothing is measured.
 *
 * @example
 * const reserved = reserve.select(candidates, now)
 * if (reserved.isClosedTo(task, worker)) continue
 */
export class WorkerReserve {
  readonly #maxShare: number
  readonly #demand = new ShortTaskDemand()
  #last = new ReservedWorkers([])

  constructor (maxShare: number) {
    this.#maxShare = maxShare
  }

  get #isMeasured (): boolean {
    return this.#maxShare > RESERVED_WORKER_SHARE
  }

  /** The workers closed by the last pass. */
  get last (): ReservedWorkers {
    return this.#last
  }

  /** Chooses the workers that a scheduling pass closes. */
  select (candidates: readonly WorkerRecord[], now: Instant): ReservedWorkers {
    const constant = reserveWorkers(candidates)
    const added = this.#isMeasured ? reserveForDemand(candidates, constant, service => this.#demand.of(service, now), this.#maxShare, this.#last.added) : NONE
    this.#last = new ReservedWorkers(candidates, added, constant)
    return this.#last
  }

  /** Records that a task of a step has just found no worker. */
  recordLackOfRoom (step: StepRecord, workers: readonly WorkerRecord[], now: Instant, wallTime: number): void {
    if (this.#isMeasured) this.#demand.recordLackOfRoom(step, workers, now, wallTime)
  }

  /**
   * Whether the tasks of a step go where they leave the smallest piece: short tasks while one of their service has lacked
   * room, as the free processors are then in pieces on many workers, each too small for the largest short tasks.
   */
  packs ({ shape, job }: StepRecord, now: Instant): boolean {
    return this.#isMeasured && isShort(shape) && this.#demand.of(job.job.policy.service, now) !== undefined
  }

  /** Measures the demand at the end of a scheduling pass. */
  observe (steps: Iterable<StepRecord>, workers: Iterable<WorkerRecord>, now: Instant, wallTime: number): void {
    if (this.#isMeasured) this.#demand.observe(steps, workers, now, wallTime)
  }

  /** The reserve of each service as of the last pass, for logs and metrics; empty unless the demand is measured. */
  describe (workers: Iterable<WorkerRecord>, now: Instant): ServiceReserve[] {
    if (!this.#isMeasured) return []
    const candidates = [...workers].filter(worker => worker.acceptsWork(now))
    return [...groupByService(candidates)].map(([service, ofService]) => this.#describeService(service, ofService, now))
  }

  #describeService (service: ServiceName, workers: readonly WorkerRecord[], now: Instant): ServiceReserve {
    const demand = this.#demand.of(service, now)
    const { constant, added } = this.#last
    const dataCentres = new Map<string, DataCentreReserve>()
    const counts = { constant: 0, added: 0, usable: 0, openUsable: 0 }
    for (const worker of workers) {
      const ofDataCentre = dataCentres.get(worker.entry.zone) ?? { workers: 0, reserved: 0, usable: 0, free: 0, largestFree: 0 }
      dataCentres.set(worker.entry.zone, ofDataCentre)
      const usable = usableProcessors(worker, demand?.taskProcessors ?? 1)
      const free = freeForShortTasks(worker)
      ofDataCentre.workers++
      ofDataCentre.free += free
      ofDataCentre.largestFree = Math.max(ofDataCentre.largestFree, free)
      if (constant.has(worker)) counts.constant++
      else if (added.has(worker)) counts.added++
      else {
        counts.openUsable += usable
        continue
      }
      ofDataCentre.reserved++
      ofDataCentre.usable += usable
      counts.usable += usable
    }
    const isBelowDemand = demand !== undefined && counts.usable < demand.processors
    return { service, demand, constant: counts.constant, added: counts.added, usable: counts.usable, limit: !isBelowDemand ? 'none' : counts.openUsable > 0 ? 'share' : 'workers', dataCentres }
  }
}

const isNewLongRunning = ({ step: { shape }, hasRun }: TaskRecord): boolean => shape.isLasting && !shape.isFiller && !hasRun
