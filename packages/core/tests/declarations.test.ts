import test from 'ava'
import {
  brand, type Attempt, type CellId, type ConfigVersion, type DataCentre, type Epoch, type Instant, type LeaseSession, type NoteId, type RackId,
  type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import {
  Cell, declaredTasks, EMPTY_CONFIGURATION, FINAL_RETENTION_MS, LEAVING_WAIT_MS, PlainPolicy, REPLACE_WAIT_MS, REPLICA_DRAIN_MS, SpreadPolicy,
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

/** A cell whose workers run whatever they are told to, and report it when asked. */
class Story {
  readonly cell = new Cell({ cell: CELL, epoch: brand<Epoch>(1) }, new PlainPolicy(new SpreadPolicy()))
  readonly running = new Map<string, { vm: VmId, attempt: Attempt, state: ReportedTask['state'], command: string, checkpoint?: string }>()
  readonly failing = new Set<string>()
  #now = 0
  #vms: readonly ListedVm[]

  constructor (vms: number) {
    this.#vms = Array.from({ length: vms }, (_, index) => vmOf(index + 1))
    this.tell({ kind: 'vms-listed', vms: this.#vms })
    for (const { id } of this.#vms) this.tell({ kind: 'lease-granted', vm: id, session: brand<LeaseSession>(id), sentAt: brand<Instant>(this.#now) })
  }

  tell (event: CellEvent): CellStep {
    const step = this.cell.step(event, brand<Instant>(this.#now))
    for (const action of step.actions) this.#carryOut(action)
    return step
  }

  configure (version: number, declarations: Declarations): CellStep {
    const configuration = configurationOf(version, declarations)
    return this.tell({ kind: 'configured', configuration, declared: declaredTasks(configuration, [CELL], CELL) })
  }

  leave (vm: string): void {
    this.#vms = this.#vms.map(listed => listed.id === vm ? { ...listed, isLeaving: true } : listed)
    this.tell({ kind: 'vms-listed', vms: this.#vms })
  }

  /** Time passes; leases are renewed, the workers report, the cell places. */
  pass (durationMs: number): void {
    for (const end = this.#now + durationMs; this.#now < end;) {
      this.#now += Math.min(1_000, end - this.#now)
      for (const vm of this.#vms) {
        const session = brand<LeaseSession>(vm.id)
        this.tell({ kind: 'lease-granted', vm: vm.id, session, sentAt: brand<Instant>(this.#now) })
        this.tell({ kind: 'reported', vm: vm.id, askedAt: brand<Instant>(this.#now), session, tasks: this.#reportOf(vm.id) })
      }
      this.tell({ kind: 'tick' })
    }
  }

  task (id: string): Task | undefined {
    return this.cell.state.tasks.get(brand<TaskId>(id))
  }

  /** Commands that run now. */
  get commands (): string[] {
    return [...this.running.values()].filter(entry => entry.state === 'running').map(entry => entry.command).sort()
  }

  #reportOf (vm: VmId): ReportedTask[] {
    return [...this.running].filter(([, entry]) => entry.vm === vm).map(([id, { attempt, state, checkpoint }]) =>
      ({ id: brand<TaskId>(id), attempt, state, checkpoint, address: `127.0.0.1:9/${id}` }))
  }

  #carryOut (action: CellAction): void {
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

const serving = (command: string): Declarations => ({ services: { stockline: { ...SERVICE, command } } })

test('a changed replica is replaced make-before-break, and stops only after its requests had time to end', t => {
  const story = new Story(2)
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  story.configure(2, serving('serve 2'))
  t.deepEqual(story.commands, ['serve 1'])
  t.deepEqual(story.cell.endpoints.map(endpoint => endpoint.isLeaving), [false])
  story.pass(3_000)
  t.deepEqual(story.commands, ['serve 1', 'serve 2'])
  t.deepEqual(story.cell.endpoints.map(endpoint => endpoint.isLeaving), [true, false])
  story.pass(REPLICA_DRAIN_MS - 5_000)
  t.deepEqual(story.commands, ['serve 1', 'serve 2'])
  story.pass(8_000)
  t.deepEqual(story.commands, ['serve 2'])
  t.is(story.task('stockline.0')?.state, 'cancelled')
  story.configure(3, serving('serve 2'))
  story.pass(REPLACE_WAIT_MS)
  t.deepEqual(story.commands, ['serve 2'])
  t.is(story.running.size, 1)
})

test('a replica whose successor fails stays', t => {
  const story = new Story(2)
  story.failing.add('serve 2')
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  story.configure(2, serving('serve 2'))
  story.pass(REPLACE_WAIT_MS * 2)
  t.deepEqual(story.commands, ['serve 1'])
  t.deepEqual(story.cell.endpoints.map(endpoint => endpoint.isLeaving), [false])
})

test('without room for both, the old replica gives way after a while', t => {
  const story = new Story(1)
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  story.configure(2, serving('serve 2'))
  story.pass(REPLACE_WAIT_MS - 10_000)
  t.deepEqual(story.commands, ['serve 1'])
  story.pass(REPLICA_DRAIN_MS + 20_000)
  t.deepEqual(story.commands, ['serve 2'])
})

test('a replica on a leaving VM is replaced before it stops', t => {
  const story = new Story(2)
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  const [first] = story.running.values()
  story.leave(first?.vm ?? '')
  story.pass(4_000)
  t.deepEqual(story.commands, ['serve 1', 'serve 1'])
  t.deepEqual(story.cell.endpoints.map(endpoint => endpoint.isLeaving), [true, false])
  story.pass(REPLICA_DRAIN_MS + 4_000)
  t.deepEqual(story.commands, ['serve 1'])
  t.not([...story.running.values()][0]?.vm, first?.vm)
})

test('without room elsewhere, a replica leaves its VM with it', t => {
  const story = new Story(1)
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  story.leave('vm-1')
  story.pass(LEAVING_WAIT_MS)
  t.deepEqual(story.commands, ['serve 1'])
  story.pass(REPLICA_DRAIN_MS + 4_000)
  t.deepEqual(story.commands, [])
})

test('a withdrawn service drains, and comes back when it is declared again', t => {
  const story = new Story(2)
  story.configure(1, serving('serve 1'))
  story.pass(3_000)
  story.configure(2, {})
  story.pass(5_000)
  t.deepEqual(story.commands, ['serve 1'])
  story.pass(REPLICA_DRAIN_MS)
  t.deepEqual(story.commands, [])
  story.configure(3, serving('serve 1'))
  story.pass(3_000)
  t.deepEqual(story.commands, ['serve 1'])
})

test('a changed watch resumes under its new declaration, from its checkpoint, as the next attempt', t => {
  const story = new Story(1)
  story.configure(1, { tasks: { cream: WATCH } })
  story.pass(3_000)
  story.configure(2, { tasks: { cream: { ...WATCH, command: 'look twice' } } })
  story.pass(4_000)
  t.deepEqual(story.commands, ['look twice'])
  t.like(story.task('cream'), { attempt: brand<Attempt>(2), checkpoint: 'after 1' })
})

test('a watch that is withdrawn and declared again runs again; one that was cancelled on request does not', t => {
  const story = new Story(2)
  story.configure(1, { tasks: { cream: WATCH, flour: WATCH } })
  story.pass(3_000)
  story.tell({ kind: 'cancelled', task: brand<TaskId>('flour') })
  story.configure(2, { tasks: { flour: WATCH } })
  story.configure(3, { tasks: { cream: WATCH, flour: WATCH } })
  story.pass(5_000)
  t.like(story.task('cream'), { state: 'running', attempt: brand<Attempt>(2) })
  t.is(story.task('flour')?.state, 'cancelled')
})

test('a declared batch task is cancelled when it is withdrawn, and never run again once finished', t => {
  const story = new Story(2)
  const batch: DeclaredTask = { ...WATCH, kind: 'batch' }
  story.configure(1, { tasks: { done: batch, dropped: batch } })
  story.pass(3_000)
  const done = story.running.get('done')
  if (done !== undefined) story.running.set('done', { ...done, state: 'finished' })
  story.configure(2, { tasks: { done: batch } })
  story.pass(3_000)
  t.is(story.task('dropped')?.state, 'cancelled')
  t.is(story.task('done')?.state, 'finished')
  story.configure(3, { tasks: { done: { ...batch, command: 'other' } } })
  story.pass(3_000)
  t.is(story.task('done')?.state, 'finished')
  t.deepEqual(story.commands, [])
})

test('an owner that has read no configuration yet, or an older one, withdraws nothing', t => {
  const story = new Story(1)
  story.configure(5, { tasks: { cream: WATCH } })
  story.pass(3_000)
  const next = new Cell({ cell: CELL, epoch: brand<Epoch>(2) }, new PlainPolicy(new SpreadPolicy()))
  next.restore([], brand<Instant>(0), [...story.cell.state.tasks.values()], story.cell.configured)
  for (const version of [0, 4]) {
    const step = next.step({ kind: 'configured', configuration: configurationOf(version, {}), declared: [] }, brand<Instant>(1))
    t.deepEqual(step.transitions, [], `version ${version}`)
  }
  const withdrawn = next.step({ kind: 'configured', configuration: configurationOf(6, {}), declared: [] }, brand<Instant>(2))
  t.deepEqual(withdrawn.transitions.map(transition => transition.kind), ['withdrawn'])
})

test('what is final is forgotten after its time, unless it is still declared', t => {
  const story = new Story(2)
  const batch: DeclaredTask = { ...WATCH, kind: 'batch' }
  story.configure(1, { tasks: { kept: batch } })
  story.tell({ kind: 'submitted', spec: { id: brand<TaskId>('job'), kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: SIZE, command: 'work', acceptedAt: 1 } })
  story.pass(3_000)
  for (const [id, entry] of story.running) story.running.set(id, { ...entry, state: 'finished' })
  story.pass(FINAL_RETENTION_MS / 2)
  t.is(story.task('job')?.state, 'finished')
  story.pass(FINAL_RETENTION_MS / 2 + 2_000)
  t.is(story.task('job'), undefined)
  t.is(story.task('kept')?.state, 'finished')
})
