/**
 * A model of owners, workers, the journal and messages in flight around the real `Cell`, for an exhaustive search.
 */
import {
  brand, type Attempt, type CellId, type DataCentre, type Epoch, type Instant, type LeaseSession, type RackId, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import {
  Cell, LEASE_MARGIN_MS, BaselinePolicy, SpreadPolicy, WORKER_LEASE_MS,
  type CellAction, type CellEvent, type ListedVm, type ReportedTask, type Task, type TaskSpec, type Transition, type Vm
} from '../../src/index.ts'

/** Variants of the protocol that each break one rule, which the search must detect. `none` breaks none. */
export type Mutant = 'none' | 'ends-under-open-session' | 'no-epoch-check' | 'no-closed-sessions' | 'no-asked-at' | 'acts-before-durable' | 'forgets-ends'

type WorkerEntry = Readonly<{ id: TaskId, attempt: Attempt, state: ReportedTask['state'] }>

/** A worker that follows the worker contract. */
export type ModelWorker = Readonly<{
  session: LeaseSession | null
  epoch: number
  closedSessions: readonly string[]
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
  /** Steps that are not in the journal yet. */
  unwrittenSteps: readonly Batch[]
  /** Set if the first of them was recorded but the response was lost. */
  isFirstRecorded: boolean
  reports: readonly Report[]
  sessionCount: number
}>

/** State of the whole model. */
export type ModelState = Readonly<{
  now: number
  epoch: number
  journal: readonly Transition[]
  owners: readonly (ModelOwner | null)[]
  workers: readonly ModelWorker[]
  messages: readonly Message[]
  finishes: number
  faultsLeft: number
  takeoversLeft: number
}>

/** A state that is reachable in one move. */
export type Move = Readonly<{ name: string, next: ModelState }>

const TASK = brand<TaskId>('order')
const SIZE = { processors: 1, memoryMb: 1, accelerators: 0 }
const SPEC: TaskSpec = {
  id: TASK, kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: SIZE, command: 'work', acceptedAt: 0
}
const LOST_AFTER_MS = WORKER_LEASE_MS + LEASE_MARGIN_MS

const listedVm = (index: number, isLeaving: boolean): ListedVm => ({
  id: vmId(index), dataCentre: brand<DataCentre>('dc'), rack: brand<RackId>('r'), address: String(index), resources: SIZE, isLeaving
})

const vmId = (index: number): VmId => brand<VmId>(`vm-${index}`)
const indexOf = (vm: VmId): number => Number(vm.slice('vm-'.length))

const NEW_WORKER: ModelWorker = { session: null, epoch: 0, closedSessions: [], entries: [], ended: {}, isDead: false, isListed: true, isLeaving: false }

/** The moves of the protocol, without the rule that `mutant` breaks. */
export class ProtocolModel {
  readonly #mutant: Mutant

  constructor (mutant: Mutant) {
    this.#mutant = mutant
  }

  /** An accepted task, two workers, and an owner in its first term that holds both leases and has placed the task. */
  startPlaced (faults: number, takeovers: number): ModelState {
    let state = this.startWithoutWorkers(faults, takeovers)
    for (const name of ['reads the VM list', 'renews at worker 0', 'renews at worker 1', 'places']) {
      state = this.moves(state).find(move => move.name === `owner 0 ${name}`)?.next ?? state
    }
    return state
  }

  /** An accepted task, two workers, and an owner in its first term that has not read the VM list yet. */
  startWithoutWorkers (faults: number, takeovers: number): ModelState {
    const initial: ModelState = {
      now: 1,
      epoch: 1,
      journal: [{ kind: 'accepted', spec: SPEC }],
      owners: [null, null],
      workers: [NEW_WORKER, NEW_WORKER],
      messages: [],
      finishes: 0,
      faultsLeft: faults,
      takeoversLeft: takeovers
    }
    return withOwner(initial, 0, recoverOwner(initial, 1))
  }

  /** Describes the violated invariant of a state, if there is one. */
  violation (state: ModelState): string | undefined {
    const running = state.workers.flatMap(worker => worker.entries.filter(entry => entry.state === 'running'))
    if (running.length > 1) return 'the task runs in two places'
    if (state.finishes > 1) return 'the task finished twice'
    if (state.finishes > 0 && running.length > 0) return 'the task runs again after it has finished'
    return undefined
  }

  /** Lists every possible move. */
  moves (state: ModelState): Move[] {
    const moves: Move[] = []
    const advanced = { ...state, now: state.now + 1 }
    for (const index of state.owners.keys()) this.#ownerMoves(advanced, index, moves)
    for (const index of state.workers.keys()) this.#workerMoves(advanced, index, moves)
    if (hasMissingVm(state)) moves.push({ name: 'a lease time passes', next: this.#waitOutLease(advanced) })
    for (const message of state.messages) {
      const next = this.#deliver(advanced, message)
      if (next !== undefined) moves.push({ name: `deliver ${describe(message)}`, next })
    }
    return moves
  }

  #ownerMoves (state: ModelState, index: number, moves: Move[]): void {
    const add = (name: string, next: ModelState | undefined): void => {
      if (next !== undefined) moves.push({ name: `owner ${index} ${name}`, next })
    }
    if (state.takeoversLeft > 0 && state.owners[index]?.epoch !== state.epoch) add('claims the cell', this.#takeOver(state, index))
    const owner = state.owners[index]
    if (owner === null || owner === undefined) return
    if (isVmListChanged(state, owner)) add('reads the VM list', this.#step(state, index, { kind: 'vms-listed', vms: listedVms(state) }))
    add('places', this.#step(state, index, { kind: 'tick' }))
    if (owner.unwrittenSteps.length > 0) {
      add('appends to the journal', this.#append(state, index, false))
      if (state.faultsLeft > 0) add('appends and loses the response', this.#append({ ...state, faultsLeft: state.faultsLeft - 1 }, index, true))
    }
    for (const report of owner.reports) add(`handles a report of worker ${report.vm}`, this.#handleReport(state, index, owner, report))
    for (const vm of state.workers.keys()) {
      if (!owner.vms.some(known => known.id === vmId(vm))) continue
      add(`requests a report of worker ${vm}`, requestReport(state, index, owner, vm))
      add(`renews at worker ${vm}`, this.#renew(state, index, owner, vm, true))
      if (state.faultsLeft > 0) add(`sends worker ${vm} a renewal that is delayed`, this.#renew({ ...state, faultsLeft: state.faultsLeft - 1 }, index, owner, vm, false))
    }
  }

  #workerMoves (state: ModelState, index: number, moves: Move[]): void {
    const worker = state.workers[index] as ModelWorker
    if (worker.isDead) return
    const change = (name: string, changes: Partial<ModelWorker>, stateChanges: Partial<ModelState> = {}): void => {
      moves.push({ name: `worker ${index} ${name}`, next: withWorker({ ...state, ...stateChanges }, index, { ...worker, ...changes }) })
    }
    const running = worker.entries.find(entry => entry.state === 'running')
    if (running !== undefined) change('finishes the task', endAttempt(worker, running, 'finished'), { finishes: state.finishes + 1 })
    if (state.faultsLeft === 0) return
    const faultsLeft = state.faultsLeft - 1
    if (worker.session !== null) change('loses its lease', this.#expired(worker), { faultsLeft })
    if (!worker.isLeaving) change('is marked as leaving', { isLeaving: true }, { faultsLeft })
    const isOtherAlive = state.workers.every((other, otherIndex) => otherIndex === index || !other.isDead)
    // A result that no owner has recorded would be lost with its VM, so the task would rightly finish again; such deaths are left out.
    const unreadFinishes = worker.entries.some(entry => entry.state === 'finished') && !isRecordedFinish(state) ? 1 : 0
    const hasUnreadFinish = unreadFinishes > 0
    if (isOtherAlive && !hasUnreadFinish) {
      change('dies and leaves the list', { isDead: true, isListed: false, entries: [], session: null }, { faultsLeft })
    }
  }

  #expired (worker: ModelWorker): Partial<ModelWorker> {
    const running = worker.entries.find(entry => entry.state === 'running')
    const afterStop = running === undefined ? worker : { ...worker, ...endAttempt(worker, running, 'stopped') }
    const entries = this.#mutant === 'forgets-ends' ? [] : afterStop.entries
    const closedSessions = worker.session === null ? worker.closedSessions : [...worker.closedSessions, worker.session]
    return { entries, ended: afterStop.ended, session: null, closedSessions }
  }

  // Leases that are not renewed during this time have expired at its end; the others may be renewed.
  #waitOutLease (state: ModelState): ModelState {
    return { ...state, now: state.now + LOST_AFTER_MS }
  }

  #takeOver (state: ModelState, index: number): ModelState {
    const epoch = state.epoch + 1
    const claimed = { ...state, epoch, takeoversLeft: state.takeoversLeft - 1 }
    return withOwner(claimed, index, recoverOwner(claimed, epoch))
  }

  #step (state: ModelState, index: number, event: CellEvent, changes: Partial<ModelOwner> = {}): ModelState | undefined {
    const owner = state.owners[index] as ModelOwner
    const cell = restoreCell(owner)
    const { transitions, actions } = cell.step(event, brand<Instant>(state.now))
    const batch = { transitions, actions: actions.filter(action => action.kind !== 'publish-endpoints') }
    const isNotEmpty = batch.transitions.length > 0 || batch.actions.length > 0
    const isImmediate = owner.unwrittenSteps.length === 0 && batch.transitions.length === 0
    const after: ModelOwner = {
      ...owner,
      ...changes,
      tasks: [...cell.state.tasks.values()],
      vms: [...cell.state.vms.values()],
      unwrittenSteps: isNotEmpty && !isImmediate ? [...owner.unwrittenSteps, batch] : owner.unwrittenSteps
    }
    const next = withOwner(state, index, after)
    return isImmediate || this.#mutant === 'acts-before-durable' ? enqueueActions(next, owner.epoch, batch) : next
  }

  #append (state: ModelState, index: number, isResponseLost: boolean): ModelState | undefined {
    const owner = state.owners[index] as ModelOwner
    const [batch, ...rest] = owner.unwrittenSteps as [Batch, ...Batch[]]
    const needsRecord = batch.transitions.length > 0 && !owner.isFirstRecorded
    if (isResponseLost && !needsRecord) return undefined
    const isFenced = needsRecord && owner.epoch !== state.epoch && this.#mutant !== 'no-epoch-check'
    if (isFenced) return withOwner(state, index, null)
    const journal = needsRecord ? [...state.journal, ...batch.transitions] : state.journal
    if (isResponseLost) return withOwner({ ...state, journal }, index, { ...owner, isFirstRecorded: true })
    return enqueueActions(withOwner({ ...state, journal }, index, { ...owner, unwrittenSteps: rest, isFirstRecorded: false }), owner.epoch, batch)
  }

  #handleReport (state: ModelState, index: number, owner: ModelOwner, report: Report): ModelState | undefined {
    const isMissing = !report.tasks.some(task => owner.tasks.some(known => known.attempt === task.attempt))
    const isTreatedAsClosed = this.#mutant === 'ends-under-open-session' && isMissing
    const session = isTreatedAsClosed ? null : report.session
    const askedAt = brand<Instant>(this.#mutant === 'no-asked-at' ? state.now : report.askedAt)
    const reports = owner.reports.filter(other => other !== report)
    return this.#step(state, index, { kind: 'reported', vm: vmId(report.vm), askedAt, session, tasks: report.tasks }, { reports })
  }

  // Renewing a session that both sides have changes nothing, as leases in the model may expire at any move.
  #renew (state: ModelState, index: number, owner: ModelOwner, vm: number, isImmediate: boolean): ModelState | undefined {
    const worker = state.workers[vm] as ModelWorker
    const isKnown = worker.session !== null && worker.epoch === owner.epoch && owner.vms[vm]?.session === worker.session
    if (worker.isDead || isKnown) return undefined
    const isNew = worker.session === null
    const session = worker.session ?? brand<LeaseSession>(`${owner.epoch}.${owner.sessionCount}`)
    const message: Message = { kind: 'lease', owner: index, vm, session, epoch: owner.epoch, isNew, sentAt: state.now }
    const isInFlight = state.messages.some(other => describe(other) === describe(message))
    if (isInFlight && !isImmediate) return undefined
    const next = withOwner(state, index, { ...owner, sessionCount: owner.sessionCount + (isNew ? 1 : 0) })
    const posted = isInFlight ? next : { ...next, messages: [...next.messages, message] }
    return isImmediate ? this.#deliver(posted, message) : posted
  }

  // Messages stay in flight after delivery, so each may arrive late and any number of times.
  #deliver (state: ModelState, message: Message): ModelState | undefined {
    const worker = state.workers[message.vm] as ModelWorker
    if (worker.isDead || message.epoch < worker.epoch) return undefined
    return message.kind === 'lease' ? this.#grant(state, worker, message) : this.#act(state, worker, message)
  }

  #grant (state: ModelState, worker: ModelWorker, message: Extract<Message, { kind: 'lease' }>): ModelState | undefined {
    if (worker.session !== null && worker.session !== message.session) return undefined
    const isClosed = this.#mutant !== 'no-closed-sessions' && worker.closedSessions.includes(message.session)
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
    if (action.kind === 'start') return startAttempt(worker, action.task, change)
    const present = worker.entries.find(entry => entry.attempt === action.attempt)
    if (action.kind === 'stop') return stopAttempt(worker, present, action.attempt, change)
    if (action.kind !== 'acknowledge' || present === undefined || present.state === 'running') return undefined
    return change({ entries: worker.entries.filter(entry => entry !== present) })
  }
}

const startAttempt = (worker: ModelWorker, task: Task, change: (changes: Partial<ModelWorker>) => ModelState): ModelState | undefined => {
  const isKnown = worker.entries.some(entry => entry.attempt === task.attempt)
  if (isKnown || (worker.ended[task.spec.id] ?? 0) >= task.attempt) return undefined
  return change({ entries: [...worker.entries, { id: task.spec.id, attempt: task.attempt, state: 'running' }] })
}

const stopAttempt = (
  worker: ModelWorker, present: WorkerEntry | undefined, attempt: Attempt, change: (changes: Partial<ModelWorker>) => ModelState
): ModelState | undefined => {
  if (present !== undefined) return present.state === 'running' ? change(endAttempt(worker, present, 'stopped')) : undefined
  const entry: WorkerEntry = { id: TASK, attempt, state: 'stopped' }
  return change({ entries: [...worker.entries, entry], ended: recordEnded(worker, attempt) })
}

const recordEnded = (worker: ModelWorker, attempt: Attempt): Record<string, number> =>
  ({ ...worker.ended, [TASK]: Math.max(attempt, worker.ended[TASK] ?? 0) })

const endAttempt = (worker: ModelWorker, entry: WorkerEntry, state: 'finished' | 'stopped'): Pick<ModelWorker, 'entries' | 'ended'> => ({
  entries: worker.entries.map(other => other === entry ? { ...entry, state } : other),
  ended: recordEnded(worker, entry.attempt)
})

const isRecordedFinish = (state: ModelState): boolean =>
  state.journal.some(transition => transition.kind === 'ended' && transition.end === 'finished')

const listedVms = (state: ModelState): ListedVm[] =>
  [...state.workers.entries()].filter(([, worker]) => worker.isListed).map(([index, worker]) => listedVm(index, worker.isLeaving))

const hasMissingVm = (state: ModelState): boolean =>
  state.owners.some(owner => owner?.vms.some(vm => vm.missingSince !== undefined && state.now - vm.missingSince < LOST_AFTER_MS))

const isVmListChanged = (state: ModelState, owner: ModelOwner): boolean =>
  state.workers.some((worker, index) => {
    const vm = owner.vms.find(known => known.id === vmId(index))
    if (vm === undefined) return worker.isListed
    return vm.isLeaving !== worker.isLeaving || (vm.missingSince === undefined) !== worker.isListed
  })

const requestReport = (state: ModelState, index: number, owner: ModelOwner, vm: number): ModelState | undefined => {
  const worker = state.workers[vm] as ModelWorker
  if (worker.isDead || owner.reports.length > 0) return undefined
  const report: Report = { vm, askedAt: state.now, session: worker.session, tasks: worker.entries }
  return withOwner(state, index, { ...owner, reports: [...owner.reports, report] })
}

const enqueueActions = (state: ModelState, epoch: number, batch: Batch): ModelState => {
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

const recoverOwner = (state: ModelState, epoch: number): ModelOwner => {
  const cell = new Cell({ cell: brand<CellId>('c'), epoch: brand<Epoch>(epoch) }, new BaselinePolicy(new SpreadPolicy()))
  cell.restore(state.journal, brand<Instant>(state.now))
  return {
    epoch, tasks: [...cell.state.tasks.values()], vms: [], unwrittenSteps: [], isFirstRecorded: false, reports: [], sessionCount: 0
  }
}

const restoreCell = (owner: ModelOwner): Cell => {
  const cell = new Cell({ cell: brand<CellId>('c'), epoch: brand<Epoch>(owner.epoch) }, new BaselinePolicy(new SpreadPolicy()))
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

/** A key that is equal for states with equal behaviour: instants are replaced by the results of their comparisons. */
export const keyOf = (state: ModelState): string => {
  const owners = state.owners.map(owner => owner === null ? null : ownerKey(state, owner))
  const messages = state.messages.map(describe).sort()
  const { now, journal, ...rest } = state
  return JSON.stringify([rest.epoch, rest.faultsLeft, rest.takeoversLeft, rest.finishes, rest.workers, owners, messages, journal.map(transitionKey)])
}

const ownerKey = (state: ModelState, owner: ModelOwner): unknown => {
  const [task] = owner.tasks
  const since = task?.placement?.since ?? 0
  const vms = owner.vms.map(vm => [vm.id, vm.session, vm.isLeaving, vm.missingSince !== undefined && state.now - vm.missingSince >= LOST_AFTER_MS, vm.missingSince !== undefined])
  const placement = task?.placement
  const reports = owner.reports.map(({ vm, askedAt, session, tasks }) => [vm, askedAt > since, askedAt > (owner.vms[vm]?.renewedAt ?? 0), session, tasks])
  return [
    owner.epoch, task?.state, task?.attempt, placement?.vm, placement?.session, placement?.isStopping, placement?.isRunning, vms,
    owner.unwrittenSteps.map(batch => [batch.transitions.map(transitionKey), batch.actions.length]), owner.isFirstRecorded, reports,
    owner.sessionCount
  ]
}

const transitionKey = (transition: Transition): string => {
  const attempt = 'attempt' in transition ? transition.attempt : 0
  const end = transition.kind === 'ended' ? transition.end : ''
  return `${transition.kind} ${attempt} ${end}`
}
