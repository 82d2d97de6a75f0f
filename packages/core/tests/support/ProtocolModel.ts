/**
 * A small world round the real `Cell`, for an exhaustive search: owners, workers, the store, messages under way.
 */
import {
  brand, type Attempt, type CellId, type DataCentre, type Epoch, type Instant, type LeaseSession, type RackId, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import {
  Cell, LEASE_MARGIN_MS, PlainPolicy, SpreadPolicy, WORKER_LEASE_MS,
  type CellAction, type CellEvent, type ListedVm, type ReportedTask, type Task, type TaskSpec, type Transition, type Vm
} from '../../src/index.ts'

/** Rules that a mutant breaks; the search must catch each. */
export type Mutant = 'none' | 'ends-under-open-session' | 'no-epoch-check' | 'no-closed-sessions' | 'no-asked-at' | 'acts-before-durable' | 'forgets-ends'

type WorkerEntry = Readonly<{ id: TaskId, attempt: Attempt, state: ReportedTask['state'] }>

/** One worker under the worker contract. */
export type ModelWorker = Readonly<{
  session: LeaseSession | null
  epoch: number
  closed: readonly string[]
  entries: readonly WorkerEntry[]
  ended: Readonly<Record<string, number>>
  isDead: boolean
  isListed: boolean
  isLeaving: boolean
}>

type Message =
  | Readonly<{ kind: 'lease', owner: number, vm: number, session: LeaseSession, epoch: number, isNew: boolean, sentAt: number }>
  | Readonly<{ kind: 'act', vm: number, epoch: number, action: Exclude<CellAction, { kind: 'publish-endpoints' }> }>

type Report = Readonly<{ vm: number, askedAt: number, session: LeaseSession | null, tasks: readonly WorkerEntry[] }>
type Batch = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** One scheduler process in one term of ownership. */
export type ModelOwner = Readonly<{
  epoch: number
  tasks: readonly Task[]
  vms: readonly Vm[]
  /** Steps that wait for the journal. */
  waiting: readonly Batch[]
  /** Set when the first waiting step was recorded and its answer was lost. */
  isRecorded: boolean
  reports: readonly Report[]
  sessions: number
}>

/** Everything there is at one moment. */
export type ModelState = Readonly<{
  now: number
  epoch: number
  journal: readonly Transition[]
  owners: readonly (ModelOwner | null)[]
  workers: readonly ModelWorker[]
  messages: readonly Message[]
  finishes: number
  faultsLeft: number
  claimsLeft: number
}>

/** A state that can be reached in one move. */
export type Move = Readonly<{ name: string, next: ModelState }>

const TASK = brand<TaskId>('order')
const ROOM = { processors: 1, memoryMb: 1, accelerators: 0 }
const SPEC: TaskSpec = {
  id: TASK, kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: ROOM, command: 'work', acceptedAt: 0
}
const LOST_AFTER_MS = WORKER_LEASE_MS + LEASE_MARGIN_MS

const listedVm = (index: number, isLeaving: boolean): ListedVm => ({
  id: vmId(index), dataCentre: brand<DataCentre>('dc'), rack: brand<RackId>('r'), address: String(index), resources: ROOM, isLeaving
})

const vmId = (index: number): VmId => brand<VmId>(`vm-${index}`)
const indexOf = (vm: VmId): number => Number(vm.slice('vm-'.length))

const NEW_WORKER: ModelWorker = { session: null, epoch: 0, closed: [], entries: [], ended: {}, isDead: false, isListed: true, isLeaving: false }

/** The moves of the protocol, with the rules that `mutant` leaves whole. */
export class ProtocolModel {
  readonly #mutant: Mutant

  constructor (mutant: Mutant) {
    this.#mutant = mutant
  }

  /** An accepted task, two workers, an owner in its first term that holds both leases and has decided the start. */
  start (faults: number, claims: number): ModelState {
    let state = this.startCold(faults, claims)
    for (const name of ['reads the VM list', 'renews at worker 0', 'renews at worker 1', 'places']) {
      state = this.moves(state).find(move => move.name === `owner 0 ${name}`)?.next ?? state
    }
    return state
  }

  /** An accepted task, two workers, an owner in its first term that knows neither worker. */
  startCold (faults: number, claims: number): ModelState {
    const empty: ModelState = {
      now: 1,
      epoch: 1,
      journal: [{ kind: 'accepted', spec: SPEC }],
      owners: [null, null],
      workers: [NEW_WORKER, NEW_WORKER],
      messages: [],
      finishes: 0,
      faultsLeft: faults,
      claimsLeft: claims
    }
    return withOwner(empty, 0, recovered(empty, 1))
  }

  /** What is wrong with a state, if anything. */
  breach (state: ModelState): string | undefined {
    const running = state.workers.flatMap(worker => worker.entries.filter(entry => entry.state === 'running'))
    if (running.length > 1) return 'the task runs in two places'
    if (state.finishes > 1) return 'the task finished twice'
    if (state.finishes > 0 && running.length > 0) return 'the task runs again after it has finished'
    return undefined
  }

  /** Every move that is possible. */
  moves (state: ModelState): Move[] {
    const moves: Move[] = []
    const at = { ...state, now: state.now + 1 }
    for (const index of state.owners.keys()) this.#ownerMoves(at, index, moves)
    for (const index of state.workers.keys()) this.#workerMoves(at, index, moves)
    if (hasMissing(state)) moves.push({ name: 'a lease time passes', next: this.#wait(at) })
    for (const message of state.messages) {
      const next = this.#deliver(at, message)
      if (next !== undefined) moves.push({ name: `deliver ${describe(message)}`, next })
    }
    return moves
  }

  #ownerMoves (state: ModelState, index: number, moves: Move[]): void {
    const add = (name: string, next: ModelState | undefined): void => {
      if (next !== undefined) moves.push({ name: `owner ${index} ${name}`, next })
    }
    if (state.claimsLeft > 0 && state.owners[index]?.epoch !== state.epoch) add('claims the cell', this.#claim(state, index))
    const owner = state.owners[index]
    if (owner === null || owner === undefined) return
    if (isListNews(state, owner)) add('reads the VM list', this.#step(state, index, { kind: 'vms-listed', vms: listedVms(state) }))
    add('places', this.#step(state, index, { kind: 'tick' }))
    if (owner.waiting.length > 0) {
      add('appends to the journal', this.#append(state, index, false))
      if (state.faultsLeft > 0) add('appends and loses the answer', this.#append({ ...state, faultsLeft: state.faultsLeft - 1 }, index, true))
    }
    for (const report of owner.reports) add(`takes a report of ${report.vm}`, this.#takeReport(state, index, owner, report))
    for (const vm of state.workers.keys()) {
      if (!owner.vms.some(known => known.id === vmId(vm))) continue
      add(`asks worker ${vm}`, ask(state, index, owner, vm))
      add(`renews at worker ${vm}`, this.#renew(state, index, owner, vm, true))
      if (state.faultsLeft > 0) add(`sends worker ${vm} a renewal that is delayed`, this.#renew({ ...state, faultsLeft: state.faultsLeft - 1 }, index, owner, vm, false))
    }
  }

  #workerMoves (state: ModelState, index: number, moves: Move[]): void {
    const worker = state.workers[index] as ModelWorker
    if (worker.isDead) return
    const change = (name: string, changes: Partial<ModelWorker>, more: Partial<ModelState> = {}): void => {
      moves.push({ name: `worker ${index} ${name}`, next: withWorker({ ...state, ...more }, index, { ...worker, ...changes }) })
    }
    const running = worker.entries.find(entry => entry.state === 'running')
    if (running !== undefined) change('finishes the task', ended(worker, running, 'finished'), { finishes: state.finishes + 1 })
    if (state.faultsLeft === 0) return
    const faultsLeft = state.faultsLeft - 1
    if (worker.session !== null) change('loses its lease', this.#expired(worker), { faultsLeft })
    if (!worker.isLeaving) change('shall leave', { isLeaving: true }, { faultsLeft })
    const isOtherAlive = state.workers.every((other, at) => at === index || !other.isDead)
    // A result on a dead VM that nobody has read is lost with it, so the finish never happened for anyone.
    const lostFinishes = worker.entries.some(entry => entry.state === 'finished') && !isRecordedFinish(state) ? 1 : 0
    const hasUnreadFinish = lostFinishes > 0
    if (isOtherAlive && !hasUnreadFinish) {
      change('dies and leaves the list', { isDead: true, isListed: false, entries: [], session: null }, { faultsLeft })
    }
  }

  #expired (worker: ModelWorker): Partial<ModelWorker> {
    const running = worker.entries.find(entry => entry.state === 'running')
    const stopped = running === undefined ? worker : { ...worker, ...ended(worker, running, 'stopped') }
    const entries = this.#mutant === 'forgets-ends' ? [] : stopped.entries
    const closed = worker.session === null ? worker.closed : [...worker.closed, worker.session]
    return { entries, ended: stopped.ended, session: null, closed }
  }

  // Leases that nobody renews meanwhile have run out by then; the others may be renewed.
  #wait (state: ModelState): ModelState {
    return { ...state, now: state.now + LOST_AFTER_MS }
  }

  #claim (state: ModelState, index: number): ModelState {
    const epoch = state.epoch + 1
    const claimed = { ...state, epoch, claimsLeft: state.claimsLeft - 1 }
    return withOwner(claimed, index, recovered(claimed, epoch))
  }

  #step (state: ModelState, index: number, event: CellEvent, changes: Partial<ModelOwner> = {}): ModelState | undefined {
    const owner = state.owners[index] as ModelOwner
    const cell = cellOf(owner)
    const { transitions, actions } = cell.step(event, brand<Instant>(state.now))
    const batch = { transitions, actions: actions.filter(action => action.kind !== 'publish-endpoints') }
    const hasSome = batch.transitions.length > 0 || batch.actions.length > 0
    const isAtOnce = owner.waiting.length === 0 && batch.transitions.length === 0
    const after: ModelOwner = {
      ...owner,
      ...changes,
      tasks: [...cell.state.tasks.values()],
      vms: [...cell.state.vms.values()],
      waiting: hasSome && !isAtOnce ? [...owner.waiting, batch] : owner.waiting
    }
    const next = withOwner(state, index, after)
    return isAtOnce || this.#mutant === 'acts-before-durable' ? sent(next, owner.epoch, batch) : next
  }

  #append (state: ModelState, index: number, isAnswerLost: boolean): ModelState | undefined {
    const owner = state.owners[index] as ModelOwner
    const [batch, ...rest] = owner.waiting as [Batch, ...Batch[]]
    const needsRecord = batch.transitions.length > 0 && !owner.isRecorded
    if (isAnswerLost && !needsRecord) return undefined
    const isFenced = needsRecord && owner.epoch !== state.epoch && this.#mutant !== 'no-epoch-check'
    if (isFenced) return withOwner(state, index, null)
    const journal = needsRecord ? [...state.journal, ...batch.transitions] : state.journal
    if (isAnswerLost) return withOwner({ ...state, journal }, index, { ...owner, isRecorded: true })
    return sent(withOwner({ ...state, journal }, index, { ...owner, waiting: rest, isRecorded: false }), owner.epoch, batch)
  }

  #takeReport (state: ModelState, index: number, owner: ModelOwner, report: Report): ModelState | undefined {
    const isMissing = !report.tasks.some(task => owner.tasks.some(known => known.attempt === task.attempt))
    const endsAnyway = this.#mutant === 'ends-under-open-session' && isMissing
    const session = endsAnyway ? null : report.session
    const askedAt = brand<Instant>(this.#mutant === 'no-asked-at' ? state.now : report.askedAt)
    const reports = owner.reports.filter(other => other !== report)
    return this.#step(state, index, { kind: 'reported', vm: vmId(report.vm), askedAt, session, tasks: report.tasks }, { reports })
  }

  // Renewing a session that both sides know changes nothing here, for the model's leases run out at any moment.
  #renew (state: ModelState, index: number, owner: ModelOwner, vm: number, isPrompt: boolean): ModelState | undefined {
    const worker = state.workers[vm] as ModelWorker
    const isKnown = worker.session !== null && worker.epoch === owner.epoch && owner.vms[vm]?.session === worker.session
    if (worker.isDead || isKnown) return undefined
    const isNew = worker.session === null
    const session = worker.session ?? brand<LeaseSession>(`${owner.epoch}.${owner.sessions}`)
    const message: Message = { kind: 'lease', owner: index, vm, session, epoch: owner.epoch, isNew, sentAt: state.now }
    const isUnderWay = state.messages.some(other => describe(other) === describe(message))
    if (isUnderWay && !isPrompt) return undefined
    const next = withOwner(state, index, { ...owner, sessions: owner.sessions + (isNew ? 1 : 0) })
    const posted = isUnderWay ? next : { ...next, messages: [...next.messages, message] }
    return isPrompt ? this.#deliver(posted, message) : posted
  }

  // Messages stay under way after delivery, so each may come late and any number of times.
  #deliver (state: ModelState, message: Message): ModelState | undefined {
    const worker = state.workers[message.vm] as ModelWorker
    if (worker.isDead || message.epoch < worker.epoch) return undefined
    return message.kind === 'lease' ? this.#grant(state, worker, message) : this.#act(state, worker, message)
  }

  #grant (state: ModelState, worker: ModelWorker, message: Extract<Message, { kind: 'lease' }>): ModelState | undefined {
    if (worker.session !== null && worker.session !== message.session) return undefined
    const isClosed = this.#mutant !== 'no-closed-sessions' && worker.closed.includes(message.session)
    if (worker.session === null && (!message.isNew || isClosed)) return undefined
    const next = withWorker(state, message.vm, { ...worker, session: message.session, epoch: message.epoch })
    const owner = state.owners[message.owner]
    if (owner === null || owner === undefined || owner.epoch !== message.epoch) return next
    const event = { kind: 'lease-granted', vm: vmId(message.vm), session: message.session, sentAt: brand<Instant>(message.sentAt) } as const
    return this.#step(next, message.owner, event)
  }

  #act (state: ModelState, worker: ModelWorker, message: Extract<Message, { kind: 'act' }>): ModelState | undefined {
    const { action } = message
    const isOther = this.#mutant === 'no-closed-sessions' ? worker.session === null : worker.session !== action.session
    if (isOther) return undefined
    const change = (changes: Partial<ModelWorker>): ModelState => withWorker(state, message.vm, { ...worker, ...changes })
    if (action.kind === 'start') return started(worker, action.task, change)
    const present = worker.entries.find(entry => entry.attempt === action.attempt)
    if (action.kind === 'stop') return stopped(worker, present, action.attempt, change)
    if (action.kind !== 'acknowledge' || present === undefined || present.state === 'running') return undefined
    return change({ entries: worker.entries.filter(entry => entry !== present) })
  }
}

const started = (worker: ModelWorker, task: Task, change: (changes: Partial<ModelWorker>) => ModelState): ModelState | undefined => {
  const isKnown = worker.entries.some(entry => entry.attempt === task.attempt)
  if (isKnown || (worker.ended[task.spec.id] ?? 0) >= task.attempt) return undefined
  return change({ entries: [...worker.entries, { id: task.spec.id, attempt: task.attempt, state: 'running' }] })
}

const stopped = (
  worker: ModelWorker, present: WorkerEntry | undefined, attempt: Attempt, change: (changes: Partial<ModelWorker>) => ModelState
): ModelState | undefined => {
  if (present !== undefined) return present.state === 'running' ? change(ended(worker, present, 'stopped')) : undefined
  const entry: WorkerEntry = { id: TASK, attempt, state: 'stopped' }
  return change({ entries: [...worker.entries, entry], ended: noteEnded(worker, attempt) })
}

const noteEnded = (worker: ModelWorker, attempt: Attempt): Record<string, number> =>
  ({ ...worker.ended, [TASK]: Math.max(attempt, worker.ended[TASK] ?? 0) })

const ended = (worker: ModelWorker, entry: WorkerEntry, state: 'finished' | 'stopped'): Pick<ModelWorker, 'entries' | 'ended'> => ({
  entries: worker.entries.map(other => other === entry ? { ...entry, state } : other),
  ended: noteEnded(worker, entry.attempt)
})

const isRecordedFinish = (state: ModelState): boolean =>
  state.journal.some(transition => transition.kind === 'ended' && transition.end === 'finished')

const listedVms = (state: ModelState): ListedVm[] =>
  [...state.workers.entries()].filter(([, worker]) => worker.isListed).map(([index, worker]) => listedVm(index, worker.isLeaving))

const hasMissing = (state: ModelState): boolean =>
  state.owners.some(owner => owner?.vms.some(vm => vm.missingSince !== undefined && state.now - vm.missingSince < LOST_AFTER_MS))

const isListNews = (state: ModelState, owner: ModelOwner): boolean =>
  state.workers.some((worker, index) => {
    const vm = owner.vms.find(known => known.id === vmId(index))
    if (vm === undefined) return worker.isListed
    return vm.isLeaving !== worker.isLeaving || (vm.missingSince === undefined) !== worker.isListed
  })

const ask = (state: ModelState, index: number, owner: ModelOwner, vm: number): ModelState | undefined => {
  const worker = state.workers[vm] as ModelWorker
  if (worker.isDead || owner.reports.length > 0) return undefined
  const report: Report = { vm, askedAt: state.now, session: worker.session, tasks: worker.entries }
  return withOwner(state, index, { ...owner, reports: [...owner.reports, report] })
}

const sent = (state: ModelState, epoch: number, batch: Batch): ModelState => {
  const messages = [...state.messages]
  for (const action of batch.actions) {
    if (action.kind === 'publish-endpoints') continue
    const message: Message = { kind: 'act', vm: indexOf(action.vm), epoch, action }
    if (!messages.some(other => describe(other) === describe(message))) messages.push(message)
  }
  return { ...state, messages }
}

const describe = (message: Message): string => {
  if (message.kind === 'lease') return `lease ${message.owner} ${message.vm} ${message.session} ${message.epoch} ${String(message.isNew)}`
  const { action } = message
  const attempt = action.kind === 'start' ? action.task.attempt : action.attempt
  return `${action.kind} ${message.vm} ${attempt} ${action.session} ${message.epoch}`
}

const recovered = (state: ModelState, epoch: number): ModelOwner => {
  const cell = new Cell({ cell: brand<CellId>('c'), epoch: brand<Epoch>(epoch) }, new PlainPolicy(new SpreadPolicy()))
  cell.restore(state.journal, brand<Instant>(state.now))
  return {
    epoch, tasks: [...cell.state.tasks.values()], vms: [], waiting: [], isRecorded: false, reports: [], sessions: 0
  }
}

const cellOf = (owner: ModelOwner): Cell => {
  const cell = new Cell({ cell: brand<CellId>('c'), epoch: brand<Epoch>(owner.epoch) }, new PlainPolicy(new SpreadPolicy()))
  cell.restore([], brand<Instant>(0), owner.tasks)
  const vms = owner.vms.map(vm => listedVm(indexOf(vm.id), vm.isLeaving))
  if (vms.length > 0) cell.state.updateVms(vms, brand<Instant>(0))
  for (const vm of owner.vms) cell.state.updateVm(vm.id, vm)
  return cell
}

const withOwner = (state: ModelState, index: number, owner: ModelOwner | null): ModelState =>
  ({ ...state, owners: state.owners.map((other, at) => at === index ? owner : other) })

const withWorker = (state: ModelState, index: number, worker: ModelWorker): ModelState =>
  ({ ...state, workers: state.workers.map((other, at) => at === index ? worker : other) })

/** A text that is the same for states that behave alike: instants count only by what they are compared with. */
export const keyOf = (state: ModelState): string => {
  const owners = state.owners.map(owner => owner === null ? null : ownerKey(state, owner))
  const messages = state.messages.map(describe).sort()
  const { now, journal, ...rest } = state
  return JSON.stringify([rest.epoch, rest.faultsLeft, rest.claimsLeft, rest.finishes, rest.workers, owners, messages, journal.map(transitionKey)])
}

const ownerKey = (state: ModelState, owner: ModelOwner): unknown => {
  const [task] = owner.tasks
  const since = task?.placement?.since ?? 0
  const vms = owner.vms.map(vm => [vm.id, vm.session, vm.isLeaving, vm.missingSince !== undefined && state.now - vm.missingSince >= LOST_AFTER_MS, vm.missingSince !== undefined])
  const placement = task?.placement
  const reports = owner.reports.map(({ vm, askedAt, session, tasks }) => [vm, askedAt > since, askedAt > (owner.vms[vm]?.renewedAt ?? 0), session, tasks])
  return [
    owner.epoch, task?.state, task?.attempt, placement?.vm, placement?.session, placement?.isStopping, placement?.isRunning, vms,
    owner.waiting.map(batch => [batch.transitions.map(transitionKey), batch.actions.length]), owner.isRecorded, reports,
    owner.sessions
  ]
}

const transitionKey = (transition: Transition): string => {
  const attempt = 'attempt' in transition ? transition.attempt : 0
  const end = transition.kind === 'ended' ? transition.end : ''
  return `${transition.kind} ${attempt} ${end}`
}
