/**
 * Decides for one cell, without input or output. The caller passes in events and carries out the actions
 * of each step once the step's transitions are in the journal.
 */
import { assertNever, copyWith, type ConfigVersion, type Instant, type TaskId } from '@auburnpin/common'
import { FINAL_RETENTION_MS, LEASE_MARGIN_MS, MAX_FINAL_TASKS, MAX_REMOVED_PER_PASS, WORKER_LEASE_MS } from '../constants.ts'
import type { Configuration } from '../configuration/types.ts'
import { EMPTY_CONFIGURATION } from '../configuration/mergeNote.ts'
import type { Policy } from '../policy/Policy.ts'
import { isFinal, isGivenUp } from './applyTransition.ts'
import { CellState } from './CellState.ts'
import { endAttemptsOnLostVms, reconcileReport, stopAction } from './reconcileReport.ts'
import { idsOf, redeclare } from './redeclare.ts'
import { ReplicaReplacement } from './ReplicaReplacement.ts'
import { listEndpoints } from './listEndpoints.ts'
import type { CellAction, CellEvent, CellStep, CellTerm, Endpoint, Task, TaskReason, TaskSpec, Transition } from './types.ts'

/**
 * The state machine of one cell during one term of ownership.
 *
 * @example
 * const cell = new Cell(term, new BaselinePolicy(new SpreadPolicy()))
 * cell.restore(journalledTransitions, now)
 * const { transitions, actions } = cell.step({ kind: 'tick' }, now)
 */
export class Cell {
  readonly #term: CellTerm
  readonly #policy: Policy
  readonly #state = new CellState()
  #configuration: Configuration = EMPTY_CONFIGURATION
  #configuredVersion: ConfigVersion = EMPTY_CONFIGURATION.version
  #declaredIds: ReadonlySet<TaskId> = new Set()
  #pendingDeclarations: readonly TaskSpec[] = []
  readonly #replacement: ReplicaReplacement

  constructor (term: CellTerm, policy: Policy) {
    this.#term = term
    this.#replacement = new ReplicaReplacement(term.epoch)
    this.#policy = policy
    policy.attach(this.#state)
  }

  get term (): CellTerm {
    return this.#term
  }

  get state (): CellState {
    return this.#state
  }

  /** Loads a snapshot's tasks and replays the transitions journalled after it. Called before the first step. */
  restore (transitions: readonly Transition[], now: Instant, tasks: readonly Task[] = [], configuredVersion = EMPTY_CONFIGURATION.version): void {
    this.#configuredVersion = configuredVersion
    for (const task of tasks) this.#state.load(task, now)
    this.#apply(transitions, now)
    this.markDurable(transitions, now)
    for (const id of this.#state.tasks.keys()) this.#state.updatePlacement(id, { isInherited: true })
  }

  /** Version of the last configuration that any owner has applied to this cell's tasks. */
  get configuredVersion (): ConfigVersion {
    return this.#configuredVersion
  }

  /** Marks the transitions of a step as recorded in the journal. Called in the order of the steps. */
  markDurable (transitions: readonly Transition[], now: Instant): void {
    this.#state.durable.markDurable(transitions, now)
  }

  /** Endpoints of the running replicas, to be published to gateways. */
  get endpoints (): readonly Endpoint[] {
    return listEndpoints(this.#state, this.#configuration)
  }

  /** The reason for a task's state: the durable one if there is one, otherwise the policy's. */
  explain (id: TaskId, now: Instant): TaskReason | undefined {
    return this.#state.tasks.get(id)?.reason ?? this.#policy.explain(this.#state, id, now)
  }

  /** Handles one event. The state changes at once; the actions must wait until the transitions are durable. */
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
        this.#state.updateVms(event.vms, now)
        this.#markEvacuatedVms()
        return this.#drainLeavingVms(now)
      case 'lease-granted':
        return this.#recordLease(event)
      case 'lease-unanswered':
        this.#state.updateVm(event.vm, { unansweredAt: event.sentAt })
        return EMPTY_STEP
      case 'lease-refused':
        this.#state.updateVm(event.vm, { session: undefined })
        return EMPTY_STEP
      case 'reported':
        return this.#reconcile(event, now)
      case 'usage':
        this.#policy.observe(this.#state, event.vm, event.readings, now)
        return EMPTY_STEP
      default:
        return assertNever(event, 'cell event')
    }
  }

  #tick (now: Instant): CellStep {
    this.#expireLeases(now)
    const lost = endAttemptsOnLostVms(this.#state, now, WORKER_LEASE_MS + LEASE_MARGIN_MS)
    this.#apply(lost, now)
    const replaced = this.#withdraw(this.#replacement.dueWithdrawals(this.#state, now), { kind: 'replaced' }, now)
    const redeclared = this.#redeclare(now)
    const forgotten = this.#forgetFinalTasks(now)
    const reclaimed = this.#isConfigurationKnown ? this.#policy.reclaim(this.#state, now) : EMPTY_STEP
    this.#apply(reclaimed.transitions, now)
    const placed = this.#isConfigurationKnown ? this.#policy.place(this.#state, now) : []
    const actions: CellAction[] = [...replaced.actions, ...redeclared.actions, ...reclaimed.actions]
    if (lost.length > 0) actions.push({ kind: 'publish-endpoints' })
    for (const transition of placed) {
      if (transition.kind !== 'assigned') continue
      const task = this.#state.tasks.get(transition.task) as Task
      const vm = this.#state.vms.get(transition.vm)
      if (vm !== undefined) actions.push({ kind: 'start', vm: vm.id, address: vm.address, task, session: transition.session })
    }
    return { transitions: [...lost, ...replaced.transitions, ...redeclared.transitions, ...forgotten, ...reclaimed.transitions, ...placed], actions }
  }

  // A final task is kept while it is declared; without its record the declaration would start it again.
  #forgetFinalTasks (now: Instant): Transition[] {
    if (this.#configuration.version === EMPTY_CONFIGURATION.version) return []
    const transitions: Transition[] = []
    let surplus = this.#state.finalSince.size - MAX_FINAL_TASKS
    for (const [id, since] of this.#state.finalSince) {
      if (transitions.length >= MAX_REMOVED_PER_PASS) break
      if (surplus <= 0 && now - since < FINAL_RETENTION_MS) break
      const task = this.#state.tasks.get(id)
      if (this.#declaredIds.has(id) || (task !== undefined && isGivenUp(task) && this.#isDeclared(task.spec))) continue
      transitions.push({ kind: 'forgotten', task: id })
      surplus--
    }
    this.#apply(transitions, now)
    return transitions
  }

  // Nothing is assigned under a lease that may have expired at the worker.
  #expireLeases (now: Instant): void {
    for (const vm of this.#state.vms.values()) {
      const isExpired = vm.renewedAt !== undefined && now - vm.renewedAt > WORKER_LEASE_MS
      if (vm.session !== undefined && isExpired) this.#state.updateVm(vm.id, { session: undefined })
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
      const isRevoked = task !== undefined && isGivenUp(task) && reason.kind === 'withdrawn'
      if (task === undefined || (isFinal(task) && !isRevoked) || task.isWithdrawn) continue
      transitions.push({ kind: 'withdrawn', task: id, reason })
      const vm = task.placement === undefined ? undefined : this.#state.vms.get(task.placement.vm)
      if (task.placement === undefined || vm === undefined) continue
      if (task.spec.kind === 'replica') this.#drainReplica(task, actions, now)
      else actions.push(stopAction(vm, copyWith(task, { isWithdrawn: true }), task.placement))
    }
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  // A replica is stopped only after its requests had time to end; a later report of its worker triggers the stop.
  #drainReplica (task: Task, actions: CellAction[], now: Instant): void {
    this.#state.updatePlacement(task.spec.id, { drainedSince: task.placement?.drainedSince ?? now })
    actions.push({ kind: 'publish-endpoints' })
  }

  #configure (configuration: Configuration, declared: readonly TaskSpec[], now: Instant): CellStep {
    // A new owner may have read an older configuration than its predecessor, or none yet; neither withdraws any task.
    if (configuration.version < this.#configuredVersion || configuration.version === EMPTY_CONFIGURATION.version) return EMPTY_STEP
    this.#configuredVersion = configuration.version
    this.#configuration = configuration
    this.#policy.configure(configuration)
    this.#markEvacuatedVms()
    this.#declaredIds = idsOf(declared)
    this.#replacement.setDeclared(declared)
    const withdrawn = this.#withdraw(this.#undeclaredTasks(), { kind: 'withdrawn' }, now)
    const accepted = this.#accept(declared.filter(spec => spec.kind !== 'replica'), now)
    this.#pendingDeclarations = declared
    return joinSteps([withdrawn, accepted, this.#redeclare(now), this.#replaceReplicas(now), PUBLISH_ENDPOINTS])
  }

  // A new owner may not have read the configuration that its predecessor applied, which may evacuate the data centre.
  get #isConfigurationKnown (): boolean {
    return this.#configuration.version >= this.#configuredVersion
  }

  #markEvacuatedVms (): void {
    const { evacuations } = this.#configuration
    for (const vm of this.#state.vms.values()) {
      const isEvacuated = evacuations[vm.dataCentre] !== undefined
      if (isEvacuated !== (vm.isEvacuated === true)) this.#state.updateVm(vm.id, { isEvacuated })
    }
  }

  // Undeclared replicas are not included, except for those given up: `ReplicaReplacement` finds the others.
  #undeclaredTasks (): TaskId[] {
    const undeclared: TaskId[] = []
    for (const task of this.#state.tasks.values()) {
      const { spec } = task
      const isDeclared = spec.kind === 'watch' || spec.isDeclared === true || (spec.kind === 'replica' && isGivenUp(task))
      if (isDeclared && !this.#isDeclared(spec)) undeclared.push(spec.id)
    }
    return undeclared
  }

  #isDeclared ({ id, slot }: TaskSpec): boolean {
    return this.#declaredIds.has(slot ?? id)
  }

  #redeclare (now: Instant): CellStep {
    if (this.#pendingDeclarations.length === 0) return EMPTY_STEP
    const { transitions, actions, pending } = redeclare(this.#state, this.#pendingDeclarations)
    this.#pendingDeclarations = pending
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  #replaceReplicas (now: Instant): CellStep {
    const { accepted, withdrawn } = this.#replacement.reconcile(this.#state, now)
    return joinSteps([this.#accept(accepted, now), this.#withdraw(withdrawn, { kind: 'withdrawn' }, now)])
  }

  #drainLeavingVms (now: Instant): CellStep {
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
    return hasReplicas ? joinSteps([stopped, this.#replaceReplicas(now), PUBLISH_ENDPOINTS]) : stopped
  }

  // Nothing is placed on a VM that is missing from the VM list, even if its worker still responds.
  #recordLease (event: Extract<CellEvent, { kind: 'lease-granted' }>): CellStep {
    const isMissing = this.#state.vms.get(event.vm)?.missingSince !== undefined
    this.#state.updateVm(event.vm, { session: isMissing ? undefined : event.session, renewedAt: event.sentAt })
    return EMPTY_STEP
  }

  #reconcile (event: Extract<CellEvent, { kind: 'reported' }>, now: Instant): CellStep {
    this.#state.recordContact(event.vm, now)
    const isNewIncarnation = event.isNewIncarnation === true || this.#hasLostOpenSession(event, now)
    this.#forgetClosedSession(event)
    const { transitions, actions } = reconcileReport(this.#state, { ...event, isNewIncarnation }, now)
    this.#apply(transitions, now)
    return { transitions, actions }
  }

  // A call that comes late can open a session before the first report of a worker that has started again. Without a
  // restart, the session before would have stayed open for as long as its lease lasts.
  #hasLostOpenSession ({ vm: id, session, askedAt }: Extract<CellEvent, { kind: 'reported' }>, now: Instant): boolean {
    const vm = this.#state.vms.get(id)
    if (vm?.session === undefined || vm.renewedAt === undefined || session === null || session === vm.session) return false
    return askedAt > vm.renewedAt && now - vm.renewedAt < WORKER_LEASE_MS - LEASE_MARGIN_MS
  }

  // A report that was requested before the last renewal doesn't show whether the session of that renewal is open.
  #forgetClosedSession (event: Extract<CellEvent, { kind: 'reported' }>): void {
    const vm = this.#state.vms.get(event.vm)
    if (vm?.session === undefined || vm.session === event.session) return
    if (vm.renewedAt === undefined || event.askedAt > vm.renewedAt) this.#state.updateVm(vm.id, { session: undefined })
  }

  #apply (transitions: readonly Transition[], now: Instant): void {
    for (const transition of transitions) this.#state.apply(transition, now)
  }
}

const EMPTY_STEP: CellStep = { transitions: [], actions: [] }
const PUBLISH_ENDPOINTS: CellStep = { transitions: [], actions: [{ kind: 'publish-endpoints' }] }

const joinSteps = (steps: readonly CellStep[]): CellStep => ({
  transitions: steps.flatMap(step => step.transitions),
  actions: steps.flatMap(step => step.actions)
})
