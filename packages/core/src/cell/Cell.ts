/**
 * One cell's decisions. The shell feeds events and carries out the actions of each step, after the
 * step's transitions are in the journal.
 */
import { assertNever, newWith, type Instant, type TaskId } from '@auburnpin/common'
import { FINAL_RETENTION_MS, LEASE_MARGIN_MS, MAX_FINAL_TASKS, MAX_FORGOTTEN_PER_PASS, WORKER_LEASE_MS } from '../constants.ts'
import type { Configuration } from '../configuration/types.ts'
import { EMPTY_CONFIGURATION } from '../configuration/mergeNote.ts'
import type { Policy } from '../policy/Policy.ts'
import { isFinal } from './applyTransition.ts'
import { CellState } from './CellState.ts'
import { endLostVms, reconcileReport, stopAction } from './reconcileReport.ts'
import { listEndpoints } from './listEndpoints.ts'
import type { CellAction, CellEvent, CellStep, CellTerm, Endpoint, Task, TaskReason, TaskSpec, Transition } from './types.ts'

/**
 * The state machine of one cell for the time of one ownership.
 *
 * @example
 * const cell = new Cell(term, new PlainPolicy(new SpreadPolicy()))
 * cell.restore(journaledTransitions, now)
 * const { transitions, actions } = cell.step({ kind: 'tick' }, now)
 */
export class Cell {
  readonly #term: CellTerm
  readonly #policy: Policy
  readonly #state = new CellState()
  #configuration: Configuration = EMPTY_CONFIGURATION
  #declared: ReadonlySet<TaskId> = new Set()

  constructor (term: CellTerm, policy: Policy) {
    this.#term = term
    this.#policy = policy
    policy.attach(this.#state)
  }

  get term (): CellTerm {
    return this.#term
  }

  get state (): CellState {
    return this.#state
  }

  /** Takes in a snapshot's tasks and replays the transitions journaled after it, before the first step. */
  restore (transitions: readonly Transition[], now: Instant, tasks: readonly Task[] = []): void {
    for (const task of tasks) this.#state.load(task, now)
    this.#apply(transitions, now)
    this.settle(transitions, now)
  }

  /** Notes that the transitions of a step are in the journal. Steps are settled in their order. */
  settle (transitions: readonly Transition[], now: Instant): void {
    this.#state.durable.release(transitions, now)
  }

  /** The running replicas, as gateways shall see them. */
  get endpoints (): readonly Endpoint[] {
    return listEndpoints(this.#state, this.#configuration)
  }

  /** Why a task is where it is: the lasting reason if it has one, otherwise what the policy knows. */
  explain (id: TaskId, now: Instant): TaskReason | undefined {
    return this.#state.tasks.get(id)?.reason ?? this.#policy.explain(this.#state, id, now)
  }

  /** Takes one event in. State changes at once; the actions wait until the transitions are durable. */
  step (event: CellEvent, now: Instant): CellStep {
    switch (event.kind) {
      case 'tick':
        return this.#tick(now)
      case 'submitted':
        return this.#accept([event.spec], now)
      case 'cancelled':
        return this.#withdraw([event.task], { kind: 'by-caller' }, now)
      case 'configured':
        return this.#configure(event.configuration, event.declared, now)
      case 'vms-listed':
        this.#state.listVms(event.vms, now)
        return this.#leaveVms(now)
      case 'lease-granted':
        return this.#takeLease(event)
      case 'lease-refused':
        this.#state.observeVm(event.vm, { session: undefined })
        return NOTHING
      case 'reported':
        return this.#reconcile(event, now)
      case 'usage':
        this.#policy.observe(this.#state, event.vm, event.readings, now)
        return NOTHING
      default:
        return assertNever(event, 'cell event')
    }
  }

  #tick (now: Instant): CellStep {
    this.#expireLeases(now)
    const lost = endLostVms(this.#state, now, WORKER_LEASE_MS + LEASE_MARGIN_MS)
    this.#apply(lost, now)
    const forgotten = this.#forgetOld(now)
    const relief = this.#policy.relieve(this.#state, now)
    this.#apply(relief.transitions, now)
    const placed = this.#policy.place(this.#state, now)
    const actions: CellAction[] = [...relief.actions]
    if (lost.length > 0) actions.push({ kind: 'publish-endpoints' })
    for (const transition of placed) {
      if (transition.kind !== 'assigned') continue
      const task = this.#state.tasks.get(transition.task) as Task
      const vm = this.#state.vms.get(transition.vm)
      if (vm !== undefined) actions.push({ kind: 'start', vm: vm.id, address: vm.address, task, session: transition.session })
    }
    return { transitions: [...lost, ...forgotten, ...relief.transitions, ...placed], actions }
  }

  // A declared task is kept as long as it is declared, or its declaration would run it again.
  #forgetOld (now: Instant): Transition[] {
    if (this.#configuration.version === EMPTY_CONFIGURATION.version) return []
    const transitions: Transition[] = []
    let surplus = this.#state.finals.size - MAX_FINAL_TASKS
    for (const [id, since] of this.#state.finals) {
      if (transitions.length >= MAX_FORGOTTEN_PER_PASS) break
      if (surplus <= 0 && now - since < FINAL_RETENTION_MS) break
      if (this.#declared.has(id)) continue
      transitions.push({ kind: 'forgotten', task: id })
      surplus--
    }
    this.#apply(transitions, now)
    return transitions
  }

  // Nothing new is assigned under a lease that may have run out at the worker.
  #expireLeases (now: Instant): void {
    for (const vm of this.#state.vms.values()) {
      const isExpired = vm.renewedAt !== undefined && now - vm.renewedAt > WORKER_LEASE_MS
      if (vm.session !== undefined && isExpired) this.#state.observeVm(vm.id, { session: undefined })
    }
  }

  #accept (specs: readonly TaskSpec[], now: Instant): CellStep {
    const transitions: Transition[] = []
    for (const spec of specs) {
      if (!this.#state.tasks.has(spec.id)) transitions.push({ kind: 'accepted', spec })
    }
    this.#apply(transitions, now)
    return { transitions, actions: [] }
  }

  #withdraw (ids: readonly TaskId[], reason: Task['reason'] & object, now: Instant): CellStep {
    const transitions: Transition[] = []
    const actions: CellAction[] = []
    for (const id of ids) {
      const task = this.#state.tasks.get(id)
      if (task === undefined || isFinal(task) || task.isWithdrawn) continue
      transitions.push({ kind: 'withdrawn', task: id, reason })
      const vm = task.placement === undefined ? undefined : this.#state.vms.get(task.placement.vm)
      if (task.placement === undefined || vm === undefined) continue
      if (task.spec.kind === 'replica') actions.push({ kind: 'publish-endpoints' })
      actions.push(stopAction(vm, newWith(task, { isWithdrawn: true }), task.placement))
    }
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  #configure (configuration: Configuration, declared: readonly TaskSpec[], now: Instant): CellStep {
    if (configuration.version < this.#configuration.version) return NOTHING
    this.#configuration = configuration
    this.#policy.configure(configuration)
    const wanted = new Set(declared.map(spec => spec.id))
    this.#declared = wanted
    const surplus: TaskId[] = []
    for (const task of this.#state.tasks.values()) {
      const isDeclared = task.spec.kind !== 'batch' || task.spec.isDeclared === true
      if (isDeclared && !wanted.has(task.spec.id)) surplus.push(task.spec.id)
    }
    const accepted = this.#accept(declared, now)
    const withdrawn = this.#withdraw(surplus, { kind: 'withdrawn' }, now)
    return {
      transitions: [...accepted.transitions, ...withdrawn.transitions],
      actions: [...withdrawn.actions, { kind: 'publish-endpoints' }]
    }
  }

  #leaveVms (now: Instant): CellStep {
    const transitions: Transition[] = []
    const actions: CellAction[] = []
    for (const vm of this.#state.vms.values()) {
      if (!vm.isLeaving) continue
      for (const id of this.#state.placedOn(vm.id)) {
        const task = this.#state.tasks.get(id) as Task
        if (task.placement === undefined || task.placement.isStopping) continue
        transitions.push({ kind: 'stopping', task: id, attempt: task.attempt, reason: { kind: 'vm-leaving', vm: vm.id } })
        actions.push(stopAction(vm, task, task.placement), { kind: 'publish-endpoints' })
      }
    }
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  // Nothing new is placed on a VM that the list does not name, though its worker may still answer.
  #takeLease (event: Extract<CellEvent, { kind: 'lease-granted' }>): CellStep {
    const isMissing = this.#state.vms.get(event.vm)?.missingSince !== undefined
    this.#state.observeVm(event.vm, { session: isMissing ? undefined : event.session, renewedAt: event.sentAt })
    return NOTHING
  }

  #reconcile (event: Extract<CellEvent, { kind: 'reported' }>, now: Instant): CellStep {
    this.#state.noteContact(event.vm, now)
    this.#forgetClosedSession(event)
    const { transitions, actions } = reconcileReport(this.#state, event)
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  // A report from before the last renewal says nothing about the session that was opened by it.
  #forgetClosedSession (event: Extract<CellEvent, { kind: 'reported' }>): void {
    const vm = this.#state.vms.get(event.vm)
    if (vm?.session === undefined || vm.session === event.session) return
    if (vm.renewedAt === undefined || event.askedAt > vm.renewedAt) this.#state.observeVm(vm.id, { session: undefined })
  }

  #apply (transitions: readonly Transition[], now: Instant): void {
    for (const transition of transitions) this.#state.apply(transition, now)
  }
}

const NOTHING: CellStep = { transitions: [], actions: [] }
