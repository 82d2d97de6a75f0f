/**
 * One cell's decisions. The shell feeds events and carries out the actions of each step, after the
 * step's transitions are in the journal.
 */
import { assertNever, newWith, type ConfigVersion, type Instant, type TaskId } from '@auburnpin/common'
import { FINAL_RETENTION_MS, LEASE_MARGIN_MS, MAX_FINAL_TASKS, MAX_FORGOTTEN_PER_PASS, WORKER_LEASE_MS } from '../constants.ts'
import type { Configuration } from '../configuration/types.ts'
import { EMPTY_CONFIGURATION } from '../configuration/mergeNote.ts'
import type { Policy } from '../policy/Policy.ts'
import { isFinal } from './applyTransition.ts'
import { CellState } from './CellState.ts'
import { endLostVms, reconcileReport, stopAction } from './reconcileReport.ts'
import { idsOf, redeclare } from './redeclare.ts'
import { ReplicaReplacement } from './ReplicaReplacement.ts'
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
  #configured: ConfigVersion = EMPTY_CONFIGURATION.version
  #declared: ReadonlySet<TaskId> = new Set()
  #redeclared: readonly TaskSpec[] = []
  readonly #replicas: ReplicaReplacement

  constructor (term: CellTerm, policy: Policy) {
    this.#term = term
    this.#replicas = new ReplicaReplacement(term.epoch)
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
  restore (transitions: readonly Transition[], now: Instant, tasks: readonly Task[] = [], configured = EMPTY_CONFIGURATION.version): void {
    this.#configured = configured
    for (const task of tasks) this.#state.load(task, now)
    this.#apply(transitions, now)
    this.settle(transitions, now)
  }

  /** Version of the last configuration that this cell's tasks were brought into line with, by any owner. */
  get configured (): ConfigVersion {
    return this.#configured
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
    const replaced = this.#withdraw(this.#replicas.due(this.#state, now), { kind: 'replaced' }, now)
    const redeclared = this.#redeclare(now)
    const forgotten = this.#forgetOld(now)
    const relief = this.#policy.relieve(this.#state, now)
    this.#apply(relief.transitions, now)
    const placed = this.#policy.place(this.#state, now)
    const actions: CellAction[] = [...replaced.actions, ...redeclared.actions, ...relief.actions]
    if (lost.length > 0) actions.push({ kind: 'publish-endpoints' })
    for (const transition of placed) {
      if (transition.kind !== 'assigned') continue
      const task = this.#state.tasks.get(transition.task) as Task
      const vm = this.#state.vms.get(transition.vm)
      if (vm !== undefined) actions.push({ kind: 'start', vm: vm.id, address: vm.address, task, session: transition.session })
    }
    return { transitions: [...lost, ...replaced.transitions, ...redeclared.transitions, ...forgotten, ...relief.transitions, ...placed], actions }
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
      if (task.spec.kind === 'replica') this.#drain(task, actions, now)
      else actions.push(stopAction(vm, newWith(task, { isWithdrawn: true }), task.placement))
    }
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  // A replica's requests end before it is stopped, which a later report of its worker brings about.
  #drain (task: Task, actions: CellAction[], now: Instant): void {
    this.#state.observePlacement(task.spec.id, { drainedSince: task.placement?.drainedSince ?? now })
    actions.push({ kind: 'publish-endpoints' })
  }

  #configure (configuration: Configuration, declared: readonly TaskSpec[], now: Instant): CellStep {
    // A new owner may know less than the one before it, or nothing yet; that withdraws nothing.
    if (configuration.version < this.#configured || configuration.version === EMPTY_CONFIGURATION.version) return NOTHING
    this.#configured = configuration.version
    this.#configuration = configuration
    this.#policy.configure(configuration)
    this.#declared = idsOf(declared)
    this.#replicas.declare(declared)
    const withdrawn = this.#withdraw(this.#surplus(), { kind: 'withdrawn' }, now)
    const accepted = this.#accept(declared.filter(spec => spec.kind !== 'replica'), now)
    this.#redeclared = declared
    return joinSteps([withdrawn, accepted, this.#redeclare(now), this.#replaceReplicas(now), PUBLISH])
  }

  // Surplus replicas are found where they are compared with the declared ones.
  #surplus (): TaskId[] {
    const surplus: TaskId[] = []
    for (const { spec } of this.#state.tasks.values()) {
      const isDeclared = spec.kind === 'watch' || spec.isDeclared === true
      if (isDeclared && !this.#declared.has(spec.id)) surplus.push(spec.id)
    }
    return surplus
  }

  #redeclare (now: Instant): CellStep {
    if (this.#redeclared.length === 0) return NOTHING
    const { transitions, actions, pending } = redeclare(this.#state, this.#redeclared)
    this.#redeclared = pending
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  #replaceReplicas (now: Instant): CellStep {
    const { accepted, withdrawn } = this.#replicas.examine(this.#state, now)
    return joinSteps([this.#accept(accepted, now), this.#withdraw(withdrawn, { kind: 'withdrawn' }, now)])
  }

  #leaveVms (now: Instant): CellStep {
    const transitions: Transition[] = []
    const actions: CellAction[] = []
    let hasReplicas = false
    for (const vm of this.#state.vms.values()) {
      if (!vm.isLeaving) continue
      for (const id of this.#state.placedOn(vm.id)) {
        const task = this.#state.tasks.get(id) as Task
        if (task.placement === undefined || task.placement.isStopping) continue
        if (task.spec.kind === 'replica') {
          hasReplicas = true
          continue
        }
        transitions.push({ kind: 'stopping', task: id, attempt: task.attempt, reason: { kind: 'vm-leaving', vm: vm.id } })
        actions.push(stopAction(vm, task, task.placement))
      }
    }
    this.#apply(transitions, now)
    const stopped = { transitions, actions }
    return hasReplicas ? joinSteps([stopped, this.#replaceReplicas(now), PUBLISH]) : stopped
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
    const { transitions, actions } = reconcileReport(this.#state, event, now)
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
const PUBLISH: CellStep = { transitions: [], actions: [{ kind: 'publish-endpoints' }] }

const joinSteps = (steps: readonly CellStep[]): CellStep => ({
  transitions: steps.flatMap(step => step.transitions),
  actions: steps.flatMap(step => step.actions)
})
