/**
 * Latest measured load of the services on each VM, and their predicted latency ratios.
 */
import type { Instant, ServiceName, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task } from '../cell/types.ts'
import { DEFAULT_LOAD } from '../constants.ts'
import { tasksOn } from '../placement/VmCapacity.ts'
import type { InterferenceModel, Neighbour } from './InterferenceModel.ts'
import { workloadKindOf } from './workloadKindOf.ts'
import type { UsageEstimates } from './UsageEstimates.ts'

/** A service on a VM: its load, and its predicted latency ratio with all tasks that are placed there. */
export type Prediction = Readonly<{ service: ServiceName, load: number, ratio: number }>

/** Predictions are cached per VM until something changes there. */
export class ServiceLoads {
  readonly #model: InterferenceModel
  readonly #usage: UsageEstimates
  readonly #loads = new Map<string, Readonly<{ load: number, measuredAt: Instant }>>()
  readonly #predictions = new Map<VmId, readonly Prediction[]>()

  constructor (model: InterferenceModel, usage: UsageEstimates) {
    this.#model = model
    this.#usage = usage
  }

  /** Discards the cached predictions of a VM on which a task was placed, ended, throttled or measured. */
  invalidate (vm: VmId): void {
    this.#predictions.delete(vm)
  }

  /** Records a replica's measured load. */
  recordLoad (vm: VmId, service: ServiceName, load: number, measuredAt: Instant): void {
    const key = `${vm}/${service}`
    const before = this.#loads.get(key)
    if (before !== undefined && before.measuredAt >= measuredAt) return
    this.#loads.set(key, { load, measuredAt })
    this.invalidate(vm)
  }

  /** Predictions for all services on a VM. */
  predictOn (state: CellState, vm: VmId): readonly Prediction[] {
    const cached = this.#predictions.get(vm)
    if (cached !== undefined) return cached
    const tasks = tasksOn(state, vm)
    const neighbours = this.#neighboursOf(tasks)
    const predictions: Prediction[] = []
    for (const { spec } of tasks) {
      if (spec.service === undefined) continue
      const load = this.#loads.get(`${vm}/${spec.service}`)?.load ?? DEFAULT_LOAD
      predictions.push({ service: spec.service, load, ratio: this.#model.predict(spec.service, load, neighbours) })
    }
    this.#predictions.set(vm, predictions)
    return predictions
  }

  /** Predicted amount that `task` adds to a service's latency ratio without a throttle. */
  interferenceOf (task: Task, { service, load }: Prediction): number {
    return this.unthrottledCoresOf(task) * this.interferencePerCore(task, { service, load })
  }

  /** Predicted amount that each core in use by `task` adds to a service's latency ratio. */
  interferencePerCore ({ spec }: Task, { service, load }: Pick<Prediction, 'service' | 'load'>): number {
    return this.#model.ratioPerCore(service, workloadKindOf(spec), load)
  }

  /** Estimated cores in use by a task under its present throttle. */
  coresOf ({ spec, placement }: Task): number {
    return this.#usage.throttledCores(spec, placement?.throttle ?? 1)
  }

  /** Estimated cores in use by a task without a throttle. */
  unthrottledCoresOf ({ spec }: Task): number {
    return this.#usage.unthrottledCores(spec)
  }

  /** Removes a VM that is no longer in the state. */
  delete (vm: VmId): void {
    this.invalidate(vm)
    for (const key of this.#loads.keys()) if (key.startsWith(`${vm}/`)) this.#loads.delete(key)
  }

  #neighboursOf (tasks: readonly Task[]): Neighbour[] {
    const neighbours: Neighbour[] = []
    for (const { spec, placement } of tasks) {
      if (spec.kind === 'replica') continue
      neighbours.push({ kind: workloadKindOf(spec), cores: this.#usage.throttledCores(spec, placement?.throttle ?? 1) })
    }
    return neighbours
  }
}
