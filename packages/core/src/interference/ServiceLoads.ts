/**
 * What services last showed on each VM, and what is to be expected there now.
 */
import type { Instant, ServiceName, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task } from '../cell/types.ts'
import { DEFAULT_LOAD } from '../constants.ts'
import { tasksOn } from '../placement/Rooms.ts'
import type { InterferenceModel, Neighbour } from './InterferenceModel.ts'
import { kindOf } from './kindOf.ts'
import type { LearntSizes } from './LearntSizes.ts'

/** A service on a VM: its load, and its ratio with everything that is placed there by now. */
export type Expectation = Readonly<{ service: ServiceName, load: number, ratio: number }>

/** Expectations are kept per VM until something changes there. */
export class ServiceLoads {
  readonly #model: InterferenceModel
  readonly #sizes: LearntSizes
  readonly #loads = new Map<string, Readonly<{ load: number, measuredAt: Instant }>>()
  readonly #expected = new Map<VmId, readonly Expectation[]>()

  constructor (model: InterferenceModel, sizes: LearntSizes) {
    this.#model = model
    this.#sizes = sizes
  }

  /** Something was placed, ended, throttled or measured on the VM. */
  touch (vm: VmId): void {
    this.#expected.delete(vm)
  }

  /** Takes in a replica's load. */
  observe (vm: VmId, service: ServiceName, load: number, measuredAt: Instant): void {
    const key = `${vm}/${service}`
    const before = this.#loads.get(key)
    if (before !== undefined && before.measuredAt >= measuredAt) return
    this.#loads.set(key, { load, measuredAt })
    this.touch(vm)
  }

  /** The services on a VM as they are expected to fare now. */
  expectOn (state: CellState, vm: VmId): readonly Expectation[] {
    const known = this.#expected.get(vm)
    if (known !== undefined) return known
    const tasks = tasksOn(state, vm)
    const neighbours = this.#neighboursOf(tasks)
    const expected: Expectation[] = []
    for (const { spec } of tasks) {
      if (spec.service === undefined) continue
      const load = this.#loads.get(`${vm}/${spec.service}`)?.load ?? DEFAULT_LOAD
      expected.push({ service: spec.service, load, ratio: this.#model.predict(spec.service, load, neighbours) })
    }
    this.#expected.set(vm, expected)
    return expected
  }

  /** What `task` adds to a service's ratio when it runs unthrottled. */
  harmOf (task: Task, { service, load }: Expectation): number {
    return this.unthrottledCoresOf(task) * this.harmPerCore(task, { service, load })
  }

  /** What each core that `task` uses adds to a service's ratio. */
  harmPerCore ({ spec }: Task, { service, load }: Pick<Expectation, 'service' | 'load'>): number {
    return this.#model.ratioPerCore(service, kindOf(spec), load)
  }

  /** Cores that a task is expected to use under its present throttle. */
  coresOf ({ spec, placement }: Task): number {
    return this.#sizes.coresAt(spec, placement?.throttle ?? 1)
  }

  /** Cores that it would use without. */
  unthrottledCoresOf ({ spec }: Task): number {
    return this.#sizes.coresOf(spec)
  }

  /** Forgets a VM that has gone. */
  delete (vm: VmId): void {
    this.touch(vm)
    for (const key of this.#loads.keys()) if (key.startsWith(`${vm}/`)) this.#loads.delete(key)
  }

  #neighboursOf (tasks: readonly Task[]): Neighbour[] {
    const neighbours: Neighbour[] = []
    for (const { spec, placement } of tasks) {
      if (spec.kind === 'replica') continue
      neighbours.push({ kind: kindOf(spec), cores: this.#sizes.coresAt(spec, placement?.throttle ?? 1) })
    }
    return neighbours
  }
}
