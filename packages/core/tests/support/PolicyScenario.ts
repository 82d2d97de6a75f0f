/**
 * A cell with the colocation policy, to which a test sends events one by one.
 */
import {
  brand, SeededRandom, type CellId, type ConfigVersion, type DataCentre, type Epoch, type Instant, type LeaseSession, type NoteId, type RackId,
  type Resources, type ServiceName, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import {
  Cell, ColocationPolicy, DEFAULT_COLOCATION, EMPTY_CONFIGURATION, LearntInterference,
  type CellAction, type CellEvent, type CellStep, type ColocationSettings, type Configuration, type ListedVm, type Service, type Task, type TaskSpec, type Transition
} from '../../src/index.ts'

const SESSION = brand<LeaseSession>('session-1')

/** Resources, without accelerators by default. */
export const sized = (processors: number, memoryMb = 100, accelerators = 0): Resources => ({ processors, memoryMb, accelerators })

/** A batch task of the team `buyers`, with the given changes. */
export const specOf = (id: string, processors: number, changes: Partial<TaskSpec> = {}): TaskSpec => ({
  id: brand<TaskId>(id), kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: sized(processors), command: 'work 1', acceptedAt: 0, ...changes
})

/** A replica of the service `stockline`. */
export const replicaOf = (id: string, processors: number): TaskSpec =>
  specOf(id, processors, { kind: 'replica', service: brand<ServiceName>('stockline'), command: 'serve' })

/** A VM of 8 cores, with the given changes. */
export const vmOf = (id: string, changes: Partial<ListedVm> = {}): ListedVm => ({
  id: brand<VmId>(id), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: `${id}:1`, resources: sized(8, 8_000), isLeaving: false, ...changes
})

/** Steps the cell on a simulated clock. */
export class PolicyScenario {
  readonly cell: Cell
  readonly #vms: ListedVm[] = []
  #nowMs = 0

  constructor (settings: Partial<ColocationSettings> = {}) {
    const policy = new ColocationPolicy(new LearntInterference(), new SeededRandom(1), { ...DEFAULT_COLOCATION, ...settings })
    this.cell = new Cell({ cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(1) }, policy)
  }

  get now (): Instant {
    return brand<Instant>(this.#nowMs)
  }

  step (event: CellEvent, afterMs = 0): CellStep {
    this.#nowMs += afterMs
    return this.cell.step(event, this.now)
  }

  tick (afterMs = 100): CellStep {
    for (const { id } of this.#vms) this.step({ kind: 'lease-granted', vm: id, session: SESSION, sentAt: this.now })
    return this.step({ kind: 'tick' }, afterMs)
  }

  withVms (...vms: readonly ListedVm[]): this {
    this.#vms.push(...vms)
    this.step({ kind: 'vms-listed', vms: this.#vms })
    for (const { id } of vms) this.step({ kind: 'lease-granted', vm: id, session: SESSION, sentAt: this.now })
    return this
  }

  withQuotas (quotas: Readonly<Record<string, Resources>>): this {
    const teams = Object.fromEntries(Object.entries(quotas).map(([name, quota]) => [name, declared({ quota })]))
    return this.#configure({ ...EMPTY_CONFIGURATION, teams }, [])
  }

  withService (objectiveMs: number, replicas: readonly TaskSpec[]): this {
    const service: Service = {
      replicas: 1, resources: sized(2), command: 'serve', team: brand<TeamName>('buyers'), slots: 8, connections: 64, objectiveMs, queueMs: 1_000, idempotentMethods: ['GET']
    }
    return this.#configure({ ...EMPTY_CONFIGURATION, services: { [brand<ServiceName>('stockline')]: declared(service) } }, replicas)
  }

  submit (...specs: readonly TaskSpec[]): this {
    for (const spec of specs) this.step({ kind: 'submitted', spec })
    return this
  }

  task (id: string): Task {
    return this.cell.state.tasks.get(brand<TaskId>(id)) as Task
  }

  /** A report of the worker with the state of the task's present attempt; all others on its VM are running. */
  report (id: string, state: 'running' | 'finished' | 'failed' | 'stopped', afterMs = 100): CellStep {
    const { attempt, placement } = this.task(id)
    const vm = placement?.vm as VmId
    const others = [...this.cell.state.placedOn(vm)].filter(other => other !== id).map(other => this.task(other))
    const tasks = [...others.map(other => ({ id: other.spec.id, attempt: other.attempt, state: 'running' as const })), { id: brand<TaskId>(id), attempt, state }]
    return this.step({ kind: 'reported', vm, askedAt: brand<Instant>(this.#nowMs + afterMs), session: SESSION, tasks }, afterMs)
  }

  /** A usage sample of all tasks on a VM, measured at an earlier time. */
  sample (vm: string, measuredAt: number, replicaP99Ms: number): void {
    const tasks = [...this.cell.state.placedOn(brand<VmId>(vm))].map(id => this.task(id)).map(({ spec, attempt }) => ({
      id: spec.id, attempt, processors: spec.resources.processors, memoryMb: 100, latencyP99Ms: spec.service === undefined ? undefined : replicaP99Ms
    }))
    this.step({ kind: 'usage', vm: brand<VmId>(vm), readings: [{ measuredAt: brand<Instant>(measuredAt), tasks }] })
  }

  #configure (configuration: Configuration, specs: readonly TaskSpec[]): this {
    this.step({ kind: 'configured', configuration: { ...configuration, version: brand<ConfigVersion>(1) }, declared: specs })
    return this
  }
}

const declared = <Value>(value: Value) => ({ value, changedBy: brand<NoteId>('n'), changedIn: brand<ConfigVersion>(1) })

/** Ids of the tasks of all transitions of a kind. */
export const idsOf = (step: CellStep, kind: Transition['kind']): string[] => {
  const ids: string[] = []
  for (const transition of step.transitions) if (transition.kind === kind && transition.kind !== 'accepted') ids.push(transition.task)
  return ids
}

/** Kinds of the step's actions. */
export const actionsOf = (step: CellStep): Array<CellAction['kind']> => step.actions.map(action => action.kind)
