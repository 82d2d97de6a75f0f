/**
 * Processors that short tasks need, measured over the last waves of load.
 */
import { brand, type Instant, type ServiceName } from '@auburnpin/common'
import { DEMAND_BUCKET_MS, DEMAND_FALL_MS, DEMAND_QUANTILE, DEMAND_SAMPLE_GAP_MS, DEMAND_WINDOW_MS } from './constants.ts'
import { findFixedObstacle } from './findObstacle.ts'
import type { StepRecord } from './StepRecord.ts'
import { timelinessOf, USELESS } from './timeliness.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** What the short tasks of a service need, in thousandths of a core: in all, and on average for one task. */
export type Demand = Readonly<{ processors: number, taskProcessors: number }>

type Sample = { processors: number, tasks: number }

/** Demand of one service: the maximum of each second of the window, and the level that falls slowly. */
class ServiceDemand {
  readonly #buckets: { readonly from: Instant, processors: number }[] = []
  #level = 0
  #levelAt = brand<Instant>(-Infinity)
  #taskProcessors = 0
  lackedRoomAt = brand<Instant>(-Infinity)

  add ({ processors, tasks }: Sample, now: Instant): void {
    const last = this.#buckets.at(-1)
    if (last !== undefined && now - last.from < DEMAND_BUCKET_MS) last.processors = Math.max(last.processors, processors)
    else this.#buckets.push({ from: now, processors })
    while (now - (this.#buckets[0]?.from ?? now) > DEMAND_WINDOW_MS) this.#buckets.shift()
    if (tasks > 0) this.#taskProcessors = processors / tasks
    const fallen = this.#level === 0 ? 0 : this.#level * Math.exp((this.#levelAt - now) / DEMAND_FALL_MS)
    this.#level = Math.max(processors, this.#quantile(), fallen)
    this.#levelAt = now
  }

  get demand (): Demand {
    return { processors: Math.round(this.#level), taskProcessors: Math.max(1, Math.round(this.#taskProcessors)) }
  }

  #quantile (): number {
    const sorted = this.#buckets.map(({ processors }) => processors).sort((one, other) => one - other)
    return sorted[Math.floor((sorted.length - 1) * DEMAND_QUANTILE)] ?? 0
  }
}

/**
 * Measures, for each service, the processors that short tasks (tasks that end by themselves and are no fillers) use or
 * wait for while their job can still end usefully. Designed for a load that swings with a period of 11 s and has bursts
 * of 3 to 7 s: the demand rises with the first sample of a burst, stays at a high quantile of the last three waves, and
 * falls slowly. A demand counts only after a short task has found no room within that time.
 *
 * @example
 * demand.recordLackOfRoom(step, workers, now, wallTime)
 * demand.observe(openSteps, workers, now, wallTime)
 * demand.of(service, now) // { processors: 1_540_000, taskProcessors: 8_100 }
 */
export class ShortTaskDemand {
  readonly #services = new Map<ServiceName, ServiceDemand>()
  #sampledAt = brand<Instant>(-Infinity)

  /** Records that a task of a step has just found no worker. One that none could hold even if it were empty doesn't count. */
  recordLackOfRoom (step: StepRecord, workers: Iterable<WorkerRecord>, now: Instant, wallTime: number): void {
    if (isShort(step.shape) && timelinessOf(step, wallTime) !== USELESS && canRun(step, workers, now)) this.#serviceOf(step).lackedRoomAt = now
  }

  /** Measures the demand of the running tasks and of those that wait, unless the last measurement is recent. */
  observe (steps: Iterable<StepRecord>, workers: Iterable<WorkerRecord>, now: Instant, wallTime: number): void {
    if (now - this.#sampledAt < DEMAND_SAMPLE_GAP_MS) return
    this.#sampledAt = now
    const listed = [...workers]
    const samples = new Map<ServiceName, Sample>([...this.#services.keys()].map(service => [service, { processors: 0, tasks: 0 }]))
    for (const { runs } of listed) {
      for (const { task: { step } } of runs.values()) {
        const { job, occurrence, shape } = step
        if (isShort(shape) && !job.isFinal && wallTime < job.uselessAfter(occurrence)) addTasks(samples, step, 1)
      }
    }
    for (const step of steps) {
      if (step.waiting.size === 0 || !isShort(step.shape) || timelinessOf(step, wallTime) === USELESS) continue
      if (canRun(step, listed, now)) addTasks(samples, step, step.waiting.size)
    }
    for (const [service, sample] of samples) this.#ofService(service).add(sample, now)
  }

  /** The demand of a service; `undefined` if its short tasks have found room without waiting during the last waves. */
  of (service: ServiceName, now: Instant): Demand | undefined {
    const measured = this.#services.get(service)
    return measured === undefined || now - measured.lackedRoomAt > DEMAND_WINDOW_MS ? undefined : measured.demand
  }

  #serviceOf ({ job }: StepRecord): ServiceDemand {
    return this.#ofService(job.job.policy.service)
  }

  #ofService (service: ServiceName): ServiceDemand {
    let measured = this.#services.get(service)
    if (measured === undefined) {
      measured = new ServiceDemand()
      this.#services.set(service, measured)
    }
    return measured
  }
}

/**
 * Whether tasks end by themselves and need processors of their own.
 *
 * @example
 * isShort(step.shape) // false for long-running tasks and fillers
 */
export const isShort = ({ isLasting, isFiller }: JobStep): boolean => !isLasting && !isFiller

const addTasks = (samples: Map<ServiceName, Sample>, { shape, job }: StepRecord, tasks: number): void => {
  const { service } = job.job.policy
  const sample = samples.get(service) ?? { processors: 0, tasks: 0 }
  sample.processors += tasks * shape.processors
  sample.tasks += tasks
  samples.set(service, sample)
}

// Whether a worker could hold the next task of a step if it were empty; a larger reserve doesn't help any other.
const canRun = ({ waiting }: StepRecord, workers: Iterable<WorkerRecord>, now: Instant): boolean => {
  const [task] = waiting
  if (task === undefined) return false
  for (const worker of workers) if (findFixedObstacle(task, worker, now) === undefined) return true
  return false
}
