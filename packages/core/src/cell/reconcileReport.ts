/**
 * Reconciles a worker's report with the attempts that the cell has placed on it.
 */
import type { Instant, LeaseSession, VmId } from '@auburnpin/common'
import { MAX_CALL_DELAY_MS, MIN_SURVIVAL_MS, REPLICA_DRAIN_MS } from '../constants.ts'
import type { CellState } from './CellState.ts'
import type { CellAction, CellEvent, CrashRole, Placement, ReportedTask, Task, Transition, Vm } from './types.ts'

type Report = Extract<CellEvent, { kind: 'reported' }>

/** Transitions and actions that make the worker and the cell agree. */
export type Reconciliation = { readonly transitions: Transition[], readonly actions: CellAction[] }

/**
 * Ends attempts that the worker reports as ended, resends starts that were lost, stops attempts that must not run.
 * The same path handles normal operation, lost messages and the first reports after a takeover.
 */
export const reconcileReport = (state: CellState, report: Report, now: Instant): Reconciliation => {
  const result: Reconciliation = { transitions: [], actions: [] }
  const vm = state.vms.get(report.vm)
  if (vm === undefined) return result
  const reportedByKey = new Map(report.tasks.map(task => [`${task.id}/${task.attempt}`, task]))
  for (const id of state.placedOn(report.vm)) {
    const task = state.tasks.get(id)
    if (task?.placement === undefined) continue
    const reported = reportedByKey.get(`${id}/${task.attempt}`)
    if (reported !== undefined) reconcilePresent(state, vm, task, task.placement, reported, report, result, now)
    else if (report.askedAt > task.placement.since) reconcileMissing(vm, task, task.placement, report, result)
  }
  for (const reported of report.tasks) reconcileUnexpected(state, vm, reported, report.session, result)
  return result
}

const reconcilePresent = (state: CellState, vm: Vm, task: Task, placement: Placement, reported: ReportedTask, report: Report, result: Reconciliation, now: Instant): void => {
  if (reported.state === 'running') {
    recordSurvival(state, task, placement, report, result, now)
    const isChanged = !placement.isRunning || placement.address !== reported.address
    if (isChanged) state.updatePlacement(task.spec.id, { isRunning: true, address: reported.address })
    if (isChanged && task.spec.kind === 'replica') result.actions.push({ kind: 'publish-endpoints' })
    const isLeaving = placement.isStopping || task.isWithdrawn
    if (isLeaving && isDrained(state, task, placement, result, now)) result.actions.push(stopAction(vm, task, placement))
    return
  }
  result.transitions.push({
    kind: 'ended', task: task.spec.id, attempt: task.attempt, end: reported.state, result: reported.result, checkpoint: reported.checkpoint
  })
  result.actions.push(acknowledgeAction(vm, reported, placement.session))
  if (task.spec.kind === 'replica') result.actions.push({ kind: 'publish-endpoints' })
}

// The attempt ran before the first report arrived, and still when the later one was requested.
const recordSurvival = (state: CellState, { spec, attempt, crashedOn }: Task, { seenSince, hasSurvived }: Placement, report: Report, result: Reconciliation, now: Instant): void => {
  if (hasSurvived === true) return
  if (seenSince === undefined) {
    state.updatePlacement(spec.id, { seenSince: now })
    return
  }
  if (report.askedAt - seenSince < MIN_SURVIVAL_MS) return
  state.updatePlacement(spec.id, { hasSurvived: true })
  if (crashedOn !== undefined) result.transitions.push({ kind: 'survived', task: spec.id, attempt })
}

// A replica is stopped only after its requests had time to end. The start of the drain is not durable, so a new owner
// starts the drain again.
const isDrained = (state: CellState, task: Task, placement: Placement, result: Reconciliation, now: Instant): boolean => {
  if (task.spec.kind !== 'replica') return true
  if (placement.drainedSince !== undefined) return now - placement.drainedSince >= REPLICA_DRAIN_MS
  state.updatePlacement(task.spec.id, { drainedSince: now })
  result.actions.push({ kind: 'publish-endpoints' })
  return false
}

const reconcileMissing = (vm: Vm, task: Task, placement: Placement, report: Report, result: Reconciliation): void => {
  if (report.session !== placement.session) {
    const crash = report.isNewIncarnation === true ? crashRoleOf(vm, task, placement) : undefined
    // A closed session is never reopened, so a delayed start under it can no longer take effect.
    result.transitions.push({ kind: 'ended', task: task.spec.id, attempt: task.attempt, end: 'lost', reason: { kind: 'lease-ran-out', vm: vm.id }, crash })
    if (task.spec.kind === 'replica') result.actions.push({ kind: 'publish-endpoints' })
    return
  }
  if (placement.isStopping || task.isWithdrawn) result.actions.push(stopAction(vm, task, placement))
  else result.actions.push({ kind: 'start', vm: vm.id, address: vm.address, task, session: placement.session })
}

const reconcileUnexpected = (state: CellState, vm: Vm, reported: ReportedTask, session: LeaseSession | null, result: Reconciliation): void => {
  const task = state.tasks.get(reported.id)
  const isPlacedHere = task?.placement?.vm === vm.id && task.attempt === reported.attempt
  if (isPlacedHere || session === null) return
  if (reported.state === 'running') {
    result.actions.push({ kind: 'stop', vm: vm.id, address: vm.address, task: reported.id, attempt: reported.attempt, session, isCheckpointed: false })
  } else {
    result.actions.push(acknowledgeAction(vm, reported, session))
  }
}

// A VM that leaves, and an attempt that is being stopped, may end at any time.
const crashRoleOf = (vm: Vm | undefined, task: Task, placement: Placement): CrashRole =>
  placement.hasSurvived === true || placement.isStopping || task.isWithdrawn || vm?.isLeaving === true ? 'bystander' : 'suspect'

/** The action that stops a placed attempt, with a checkpoint if the task will resume. */
export const stopAction = (vm: Vm, task: Task, placement: Placement): CellAction => ({
  kind: 'stop',
  vm: vm.id,
  address: vm.address,
  task: task.spec.id,
  attempt: task.attempt,
  session: placement.session,
  isCheckpointed: !task.isWithdrawn && task.spec.kind !== 'replica'
})

const acknowledgeAction = (vm: Vm, reported: ReportedTask, session: LeaseSession): CellAction => ({
  kind: 'acknowledge', vm: vm.id, address: vm.address, task: reported.id, attempt: reported.attempt, session
})

/** Transitions that end the attempts on VMs that have been missing from the VM list for longer than a lease lasts. */
export const endAttemptsOnLostVms = (state: CellState, now: Instant, leaseMs: number): Transition[] => {
  const transitions: Transition[] = []
  for (const vm of state.vms.values()) {
    if (vm.missingSince === undefined || now - Math.max(vm.missingSince, latestExecution(vm)) < leaseMs) continue
    for (const id of state.placedOn(vm.id)) transitions.push(lostTransition(state, id, vm.id))
  }
  for (const [vm, since] of state.unlistedSince) {
    if (now - since < leaseMs) continue
    for (const id of state.placedOn(vm)) transitions.push(lostTransition(state, id, vm))
  }
  return transitions
}

// A renewal that got no response may start the lease anew when it is carried out.
const latestExecution = ({ unansweredAt }: Vm): number =>
  unansweredAt === undefined ? -Infinity : unansweredAt + MAX_CALL_DELAY_MS

const lostTransition = (state: CellState, id: Task['spec']['id'], vmId: VmId): Transition => {
  const task = state.tasks.get(id) as Task
  const vm = state.vms.get(vmId)
  const placement = task.placement as Placement
  // An owner that is lost together with its data centre leaves tasks behind that had long survived.
  const isUnknown = placement.isInherited === true && placement.hasSurvived !== true
  const crash = vm?.isLeaving === true || isUnknown ? undefined : crashRoleOf(vm, task, placement)
  return { kind: 'ended', task: id, attempt: task.attempt, end: 'lost', reason: { kind: 'vm-lost', vm: vmId }, crash }
}
