import test from 'ava'
import {
  brand, type Attempt, type CellId, type ConfigVersion, type DataCentre, type Epoch, type Instant, type LeaseSession, type NoteId, type RackId,
  type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import {
  Cell, declaredTasks, EMPTY_CONFIGURATION, FINAL_RETENTION_MS, MAX_LEAVING_WAIT_MS, BaselinePolicy, MAX_REPLACEMENT_WAIT_MS, REPLICA_DRAIN_MS, SpreadPolicy,
  type CellAction, type CellEvent, type CellStep, type Configuration, type DeclaredTask, type ListedVm, type ReportedTask, type Service, type Task
} from '../src/index.ts'

const CELL = brand<CellId>('colombo-0')
const SIZE = { processors: 2, memoryMb: 100, accelerators: 0 }
const WATCH: DeclaredTask = { kind: 'watch', team: brand<TeamName>('buyers'), resources: SIZE, command: 'look', isUrgent: false }
const SERVICE: Service = {
  replicas: 1, resources: SIZE, command: 'serve 1', team: brand<TeamName>('buyers'), slots: 8, connections: 64, objectiveMs: 100, queueMs: 1_000, idempotentMethods: []
}

type Declarations = Readonly<{ services?: Record<string, Service>, tasks?: Record<string, DeclaredTask> }>

const declared = <Value>(values: Record<string, Value> = {}, version: number): Record<string, unknown> =>
  Object.fromEntries(Object.entries(values).map(([name, value]) => [name, { value, changedBy: brand<NoteId>('n'), changedIn: brand<ConfigVersion>(version) }]))

const configurationOf = (version: number, { services, tasks }: Declarations): Configuration =>
  ({ ...EMPTY_CONFIGURATION, version: brand<ConfigVersion>(version), services: declared(services, version), tasks: declared(tasks, version) }) as Configuration

const vmOf = (index: number): ListedVm => ({
  id: brand<VmId>(`vm-${index}`),
  dataCentre: brand<DataCentre>('colombo'),
  rack: brand<RackId>(`r${index}`),
  address: `127.0.0.1:${index}`,
  resources: { processors: 3, memoryMb: 1_000, accelerators: 0 },
  isLeaving: false
})

/** A cell with simulated workers, which execute all actions and report their attempts. */
class CellHarness {
  readonly cell = new Cell({ cell: CELL, epoch: brand<Epoch>(1) }, new BaselinePolicy(new SpreadPolicy()))
  readonly running = new Map<string, { vm: VmId, attempt: Attempt, state: ReportedTask['state'], command: string, checkpoint?: string }>()
  readonly failing = new Set<string>()
  #now = 0
  #vms: readonly ListedVm[]

  constructor (vms: number) {
    this.#vms = Array.from({ length: vms }, (_, index) => vmOf(index + 1))
    this.step({ kind: 'vms-listed', vms: this.#vms })
    for (const { id } of this.#vms) this.step({ kind: 'lease-granted', vm: id, session: brand<LeaseSession>(id), sentAt: brand<Instant>(this.#now) })
  }

  step (event: CellEvent): CellStep {
    const step = this.cell.step(event, brand<Instant>(this.#now))
    for (const action of step.actions) this.#execute(action)
    return step
  }

  configure (version: number, declarations: Declarations): CellStep {
    const configuration = configurationOf(version, declarations)
    return this.step({ kind: 'configured', configuration, declared: declaredTasks(configuration, [CELL], CELL) })
  }

  markLeaving (vm: string): void {
    this.#vms = this.#vms.map(listed => listed.id === vm ? { ...listed, isLeaving: true } : listed)
    this.step({ kind: 'vms-listed', vms: this.#vms })
  }

  /** Advances the time by steps of at most 1 s, each with lease renewals, worker reports and a tick. */
  advance (durationMs: number): void {
    for (const end = this.#now + durationMs; this.#now < end;) {
      this.#now += Math.min(1_000, end - this.#now)
      for (const vm of this.#vms) {
        const session = brand<LeaseSession>(vm.id)
        this.step({ kind: 'lease-granted', vm: vm.id, session, sentAt: brand<Instant>(this.#now) })
        this.step({ kind: 'reported', vm: vm.id, askedAt: brand<Instant>(this.#now), session, tasks: this.#reportOf(vm.id) })
      }
      this.step({ kind: 'tick' })
    }
  }

  task (id: string): Task | undefined {
    return this.cell.state.tasks.get(brand<TaskId>(id))
  }

  /** Commands of all running attempts. */
  get runningCommands (): string[] {
    return [...this.running.values()].filter(entry => entry.state === 'running').map(entry => entry.command).sort()
  }

  #reportOf (vm: VmId): ReportedTask[] {
    return [...this.running].filter(([, entry]) => entry.vm === vm).map(([id, { attempt, state, checkpoint }]) =>
      ({ id: brand<TaskId>(id), attempt, state, checkpoint, address: `127.0.0.1:9/${id}` }))
  }

  #execute (action: CellAction): void {
    if (action.kind === 'start') {
      const { spec, attempt } = action.task
      if (this.running.get(spec.id)?.attempt === attempt) return
      const state = this.failing.has(spec.command) ? 'failed' : 'running'
      this.running.set(spec.id, { vm: action.vm, attempt, state, command: spec.command })
    }
    const entry = action.kind === 'stop' || action.kind === 'acknowledge' ? this.running.get(action.task) : undefined
    if (action.kind === 'stop' && entry?.state === 'running') {
      this.running.set(action.task, { ...entry, state: 'stopped', checkpoint: action.isCheckpointed ? `after ${entry.attempt}` : undefined })
    }
    if (action.kind === 'acknowledge' && entry?.attempt === action.attempt) this.running.delete(action.task)
  }
}

const stocklineWith = (command: string): Declarations => ({ services: { stockline: { ...SERVICE, command } } })

test('a changed replica is stopped only after its successor runs and its requests had time to end', t => {
  const harness = new CellHarness(2)
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  harness.configure(2, stocklineWith('serve 2'))
  t.deepEqual(harness.runningCommands, ['serve 1'])
  t.deepEqual(harness.cell.endpoints.map(endpoint => endpoint.isLeaving), [false])
  harness.advance(3_000)
  t.deepEqual(harness.runningCommands, ['serve 1', 'serve 2'])
  t.deepEqual(harness.cell.endpoints.map(endpoint => endpoint.isLeaving), [true, false])
  harness.advance(REPLICA_DRAIN_MS - 5_000)
  t.deepEqual(harness.runningCommands, ['serve 1', 'serve 2'])
  harness.advance(8_000)
  t.deepEqual(harness.runningCommands, ['serve 2'])
  t.is(harness.task('stockline.0')?.state, 'cancelled')
  harness.configure(3, stocklineWith('serve 2'))
  harness.advance(MAX_REPLACEMENT_WAIT_MS)
  t.deepEqual(harness.runningCommands, ['serve 2'])
  t.is(harness.running.size, 1)
})

test('a replica whose successor fails keeps running', t => {
  const harness = new CellHarness(2)
  harness.failing.add('serve 2')
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  harness.configure(2, stocklineWith('serve 2'))
  harness.advance(MAX_REPLACEMENT_WAIT_MS * 2)
  t.deepEqual(harness.runningCommands, ['serve 1'])
  t.deepEqual(harness.cell.endpoints.map(endpoint => endpoint.isLeaving), [false])
})

test('a replica is stopped after a timeout if there is no capacity for its successor beside it', t => {
  const harness = new CellHarness(1)
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  harness.configure(2, stocklineWith('serve 2'))
  harness.advance(MAX_REPLACEMENT_WAIT_MS - 10_000)
  t.deepEqual(harness.runningCommands, ['serve 1'])
  harness.advance(REPLICA_DRAIN_MS + 20_000)
  t.deepEqual(harness.runningCommands, ['serve 2'])
})

test('a replica on a leaving VM is replaced before it stops', t => {
  const harness = new CellHarness(2)
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  const [first] = harness.running.values()
  harness.markLeaving(first?.vm ?? '')
  harness.advance(4_000)
  t.deepEqual(harness.runningCommands, ['serve 1', 'serve 1'])
  t.deepEqual(harness.cell.endpoints.map(endpoint => endpoint.isLeaving), [true, false])
  harness.advance(REPLICA_DRAIN_MS + 4_000)
  t.deepEqual(harness.runningCommands, ['serve 1'])
  t.not([...harness.running.values()][0]?.vm, first?.vm)
})

test('a replica on a leaving VM is stopped after a timeout if no other VM has capacity', t => {
  const harness = new CellHarness(1)
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  harness.markLeaving('vm-1')
  harness.advance(MAX_LEAVING_WAIT_MS)
  t.deepEqual(harness.runningCommands, ['serve 1'])
  harness.advance(REPLICA_DRAIN_MS + 4_000)
  t.deepEqual(harness.runningCommands, [])
})

test('a withdrawn service drains, and runs again when it is declared again', t => {
  const harness = new CellHarness(2)
  harness.configure(1, stocklineWith('serve 1'))
  harness.advance(3_000)
  harness.configure(2, {})
  harness.advance(5_000)
  t.deepEqual(harness.runningCommands, ['serve 1'])
  harness.advance(REPLICA_DRAIN_MS)
  t.deepEqual(harness.runningCommands, [])
  harness.configure(3, stocklineWith('serve 1'))
  harness.advance(3_000)
  t.deepEqual(harness.runningCommands, ['serve 1'])
})

test('a changed watch resumes from its checkpoint with its new declaration, as the next attempt', t => {
  const harness = new CellHarness(1)
  harness.configure(1, { tasks: { cream: WATCH } })
  harness.advance(3_000)
  harness.configure(2, { tasks: { cream: { ...WATCH, command: 'look twice' } } })
  harness.advance(4_000)
  t.deepEqual(harness.runningCommands, ['look twice'])
  t.like(harness.task('cream'), { attempt: brand<Attempt>(2), checkpoint: 'after 1' })
})

test('a watch that is withdrawn and declared again runs again; one that was cancelled on request does not', t => {
  const harness = new CellHarness(2)
  harness.configure(1, { tasks: { cream: WATCH, flour: WATCH } })
  harness.advance(3_000)
  harness.step({ kind: 'cancelled', task: brand<TaskId>('flour') })
  harness.configure(2, { tasks: { flour: WATCH } })
  harness.configure(3, { tasks: { cream: WATCH, flour: WATCH } })
  harness.advance(5_000)
  t.like(harness.task('cream'), { state: 'running', attempt: brand<Attempt>(2) })
  t.is(harness.task('flour')?.state, 'cancelled')
})

test('a declared batch task is cancelled when it is withdrawn, and never runs again once finished', t => {
  const harness = new CellHarness(2)
  const batch: DeclaredTask = { ...WATCH, kind: 'batch' }
  harness.configure(1, { tasks: { done: batch, dropped: batch } })
  harness.advance(3_000)
  const done = harness.running.get('done')
  if (done !== undefined) harness.running.set('done', { ...done, state: 'finished' })
  harness.configure(2, { tasks: { done: batch } })
  harness.advance(3_000)
  t.is(harness.task('dropped')?.state, 'cancelled')
  t.is(harness.task('done')?.state, 'finished')
  harness.configure(3, { tasks: { done: { ...batch, command: 'other' } } })
  harness.advance(3_000)
  t.is(harness.task('done')?.state, 'finished')
  t.deepEqual(harness.runningCommands, [])
})

test('an owner that has read no configuration yet, or an older one, withdraws nothing', t => {
  const harness = new CellHarness(1)
  harness.configure(5, { tasks: { cream: WATCH } })
  harness.advance(3_000)
  const next = new Cell({ cell: CELL, epoch: brand<Epoch>(2) }, new BaselinePolicy(new SpreadPolicy()))
  next.restore([], brand<Instant>(0), [...harness.cell.state.tasks.values()], harness.cell.configuredVersion)
  for (const version of [0, 4]) {
    const step = next.step({ kind: 'configured', configuration: configurationOf(version, {}), declared: [] }, brand<Instant>(1))
    t.deepEqual(step.transitions, [], `version ${version}`)
  }
  const withdrawn = next.step({ kind: 'configured', configuration: configurationOf(6, {}), declared: [] }, brand<Instant>(2))
  t.deepEqual(withdrawn.transitions.map(transition => transition.kind), ['withdrawn'])
})

test('a final task is forgotten after its retention time, unless it is still declared', t => {
  const harness = new CellHarness(2)
  const batch: DeclaredTask = { ...WATCH, kind: 'batch' }
  harness.configure(1, { tasks: { kept: batch } })
  harness.step({ kind: 'submitted', spec: { id: brand<TaskId>('job'), kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: SIZE, command: 'work', acceptedAt: 1 } })
  harness.advance(3_000)
  for (const [id, entry] of harness.running) harness.running.set(id, { ...entry, state: 'finished' })
  harness.advance(FINAL_RETENTION_MS / 2)
  t.is(harness.task('job')?.state, 'finished')
  harness.advance(FINAL_RETENTION_MS / 2 + 2_000)
  t.is(harness.task('job'), undefined)
  t.is(harness.task('kept')?.state, 'finished')
})
