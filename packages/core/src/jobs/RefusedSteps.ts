/**
 * Steps that fitted on no worker during one scheduling pass.
 */
import type { StepRecord } from './StepRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * If an unconstrained task fits nowhere, neither does any task of the service that needs at least as much, as capacity
 * only shrinks during a pass.
 *
 * @example
 * refused.add(step, workers)
 * if (refused.includes(otherStep)) continue
 */
export class RefusedSteps {
  readonly #steps: StepRecord[] = []
  readonly #workerCount: number

  /** `workerCount`: the number of all workers that accept work. */
  constructor (workerCount: number) {
    this.#workerCount = workerCount
  }

  /** Whether a task of the step certainly fits nowhere, unless a worker is held for it. */
  includes (step: StepRecord): boolean {
    return this.#steps.some(other => needsAtLeast(step, other))
  }

  /** Adds a step of which a task fitted on none of the workers that are open to it. */
  add (step: StepRecord, open: readonly WorkerRecord[]): void {
    if (isUnconstrained(step.shape) && open.length === this.#workerCount) this.#steps.push(step)
  }
}

// Fillers of another image may fit, as they may interfere less with serving tasks.
const needsAtLeast = (step: StepRecord, refused: StepRecord): boolean => {
  const { shape, job: { job: { policy: { service } } } } = step
  const { shape: other } = refused
  if (service !== refused.job.job.policy.service || shape.isFiller !== other.isFiller || (shape.isFiller && shape.image !== other.image)) return false
  return shape.processors >= other.processors && shape.memoryMb >= other.memoryMb && shape.accelerators >= other.accelerators
}

const isUnconstrained = (shape: JobStep): boolean =>
  shape.requiredLabel === '' && shape.maxPerWorker === 0
