/**
 * Compares what a worker reports with what the cell has assigned to it.
 */
import type { Instant, LeaseSession, VmId } from '@auburnpin/common'
import { REPLICA_DRAIN_MS } from '../constants.ts'
import type { CellState } from './CellState.ts'
import type { CellAction, CellEvent, Placement, ReportedTask, Task, Transition, Vm } from './types.ts'

type Report = Extract<CellEvent, { kind: 'reported' }>

/** Transitions and actions that bring a worker and its cell into line. */
export type Reconciliation = { readonly transitions: Transition[], readonly actions: CellAction[] }

/**
 * Ends attempts by the worker's own word, starts again what has not arrived, stops what should not run.
 * The same path serves ordinary running, lost messages and the first reports after a take-over.
 */
export const reconcileReport = (state: CellState, report: Report, now: Instant): Reconciliation => {
  const found: Reconciliation = { transitions: [], actions: [] }
  const vm = state.vms.get(report.vm)
  if (vm === undefined) return found
  const reported = new Map(report.tasks.map(task => [`${task.id}/${task.attempt}`, task]))
  for (const id of state.placedOn(report.vm)) {
    const task = state.tasks.get(id)
    if (task?.placement === undefined) continue
    const seen = reported.get(`${id}/${task.attempt}`)
    if (seen !== undefined) reconcilePresent(state, vm, task, task.placement, seen, found, now)
    else if (report.askedAt > task.placement.since) reconcileMissing(vm, task, task.placement, report.session, found)
  }
  for (const seen of report.tasks) reconcileStray(state, vm, seen, report.session, found)
  return found
}

const reconcilePresent = (state: CellState, vm: Vm, task: Task, placement: Placement, seen: ReportedTask, found: Reconciliation, now: Instant): void => {
  if (seen.state === 'running') {
    const isNews = !placement.isRunning || placement.address !== seen.address
    if (isNews) state.observePlacement(task.spec.id, { isRunning: true, address: seen.address })
    if (isNews && task.spec.kind === 'replica') found.actions.push({ kind: 'publish-endpoints' })
    const isLeaving = placement.isStopping || task.isWithdrawn
    if (isLeaving && isDrained(state, task, placement, found, now)) found.actions.push(stopAction(vm, task, placement))
    return
  }
  found.transitions.push({
    kind: 'ended', task: task.spec.id, attempt: task.attempt, end: seen.state, result: seen.result, checkpoint: seen.checkpoint
  })
  found.actions.push(acknowledgeAction(vm, seen, placement.session))
  if (task.spec.kind === 'replica') found.actions.push({ kind: 'publish-endpoints' })
}

// A replica's requests end before it is stopped; how long it has been leaving is known to this owner alone.
const isDrained = (state: CellState, task: Task, placement: Placement, found: Reconciliation, now: Instant): boolean => {
  if (task.spec.kind !== 'replica') return true
  if (placement.drainedSince !== undefined) return now - placement.drainedSince >= REPLICA_DRAIN_MS
  state.observePlacement(task.spec.id, { drainedSince: now })
  found.actions.push({ kind: 'publish-endpoints' })
  return false
}

const reconcileMissing = (vm: Vm, task: Task, placement: Placement, session: LeaseSession | null, found: Reconciliation): void => {
  if (session !== placement.session) {
    // A closed session never opens again, so a start under it can no longer take effect.
    found.transitions.push({ kind: 'ended', task: task.spec.id, attempt: task.attempt, end: 'lost', reason: { kind: 'lease-ran-out', vm: vm.id } })
    if (task.spec.kind === 'replica') found.actions.push({ kind: 'publish-endpoints' })
    return
  }
  if (placement.isStopping || task.isWithdrawn) found.actions.push(stopAction(vm, task, placement))
  else found.actions.push({ kind: 'start', vm: vm.id, address: vm.address, task, session: placement.session })
}

const reconcileStray = (state: CellState, vm: Vm, seen: ReportedTask, session: LeaseSession | null, found: Reconciliation): void => {
  const task = state.tasks.get(seen.id)
  const isPlacedHere = task?.placement?.vm === vm.id && task.attempt === seen.attempt
  if (isPlacedHere || session === null) return
  if (seen.state === 'running') {
    found.actions.push({ kind: 'stop', vm: vm.id, address: vm.address, task: seen.id, attempt: seen.attempt, session, isCheckpointed: false })
  } else {
    found.actions.push(acknowledgeAction(vm, seen, session))
  }
}

/** The action that stops a placed attempt, with a checkpoint when it shall resume. */
export const stopAction = (vm: Vm, task: Task, placement: Placement): CellAction => ({
  kind: 'stop',
  vm: vm.id,
  address: vm.address,
  task: task.spec.id,
  attempt: task.attempt,
  session: placement.session,
  isCheckpointed: !task.isWithdrawn && task.spec.kind !== 'replica'
})

const acknowledgeAction = (vm: Vm, seen: ReportedTask, session: LeaseSession): CellAction => ({
  kind: 'acknowledge', vm: vm.id, address: vm.address, task: seen.id, attempt: seen.attempt, session
})

/** Attempts on VMs that have left the VM list for longer than a lease can last. */
export const endLostVms = (state: CellState, now: Instant, leaseMs: number): Transition[] => {
  const transitions: Transition[] = []
  for (const vm of state.vms.values()) {
    if (vm.missingSince === undefined || now - vm.missingSince < leaseMs) continue
    for (const id of state.placedOn(vm.id)) transitions.push(endLost(state, id, vm.id))
  }
  for (const [vm, since] of state.unlisted) {
    if (now - since < leaseMs) continue
    for (const id of state.placedOn(vm)) transitions.push(endLost(state, id, vm))
  }
  return transitions
}

const endLost = (state: CellState, id: Task['spec']['id'], vm: VmId): Transition => ({
  kind: 'ended', task: id, attempt: (state.tasks.get(id) as Task).attempt, end: 'lost', reason: { kind: 'vm-lost', vm }
})
