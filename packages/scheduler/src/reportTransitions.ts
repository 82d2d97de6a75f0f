/**
 * Logs and metrics of the transitions of a cell.
 */
import type { Log, LogFields, Metrics, VmId } from '@auburnpin/common'
import { isGivenUp, type CellState, type CellTerm, type Task, type TaskReason, type Transition } from '@auburnpin/core'

type Ended = Extract<Transition, { kind: 'ended' }>

/** Logs and counts each transition of an attempt; `state` is the state of the cell after all of them. */
export const reportTransitions = (transitions: readonly Transition[], term: CellTerm, state: CellState, log: Log, metrics: Metrics): void => {
  for (const transition of transitions) {
    if (transition.kind === 'assigned') {
      metrics.count('tasks.started', 1, { cell: term.cell })
      log.debug('Attempt assigned', { ...fieldsOf(term, transition), vm: transition.vm })
    } else if (transition.kind === 'stopping') {
      log.info('Attempt is being stopped to run elsewhere', { ...fieldsOf(term, transition), reason: transition.reason.kind })
    } else if (transition.kind === 'ended') {
      reportEnd(transition, term, state, log, metrics)
    }
  }
  reportCrashes(transitions, term, state, log, metrics)
}

// One record for each worker, as only all of its attempts together show which tasks may have crashed it.
const reportCrashes = (transitions: readonly Transition[], term: CellTerm, state: CellState, log: Log, metrics: Metrics): void => {
  const lostByVm = new Map<VmId, Ended[]>()
  for (const transition of transitions) {
    if (transition.kind !== 'ended' || transition.crash === undefined) continue
    const vm = vmOf(transition.reason)
    if (vm !== undefined) lostByVm.set(vm, [...lostByVm.get(vm) ?? [], transition])
  }
  for (const [vm, lost] of lostByVm) {
    const suspects = lost.filter(({ crash }) => crash === 'suspect').map(({ task }) => task)
    log.warn('Worker crashed', { cell: term.cell, epoch: term.epoch, vm, attempts: lost.length, suspects: suspects.join(', ') })
    if (suspects.length > 0) metrics.count('tasks.suspected', suspects.length, { cell: term.cell })
    for (const id of suspects) reportIfGivenUp(state.tasks.get(id), term, log, metrics)
  }
}

const reportIfGivenUp = (task: Task | undefined, term: CellTerm, log: Log, metrics: Metrics): void => {
  if (task === undefined || !isGivenUp(task)) return
  metrics.count('tasks.givenUp', 1, { cell: term.cell })
  log.warn('Task is given up: each worker in a row that started it crashed', { ...fieldsOf(term, { task: task.spec.id, attempt: task.attempt }), vms: task.crashedOn?.join(', ') })
}

const vmOf = (reason: TaskReason | undefined): VmId | undefined =>
  reason?.kind === 'lease-ran-out' || reason?.kind === 'vm-lost' ? reason.vm : undefined

const reportEnd = (ended: Ended, term: CellTerm, state: CellState, log: Log, metrics: Metrics): void => {
  const fields = { ...fieldsOf(term, ended), end: ended.end, reason: ended.reason?.kind }
  if (ended.end === 'finished') {
    metrics.count('tasks.finished', 1, { cell: term.cell })
    log.debug('Attempt ended', fields)
    return
  }
  log.info('Attempt ended', fields)
  const task = state.tasks.get(ended.task)
  // A withdrawn task does not run again, so its stopped attempt does not count as an eviction.
  const isEviction = ended.end === 'stopped' && task?.state === 'queued'
  if (isEviction) metrics.count('tasks.evicted', 1, { cell: term.cell, reason: task.reason?.kind ?? 'by-worker' })
}

const fieldsOf = ({ cell, epoch }: CellTerm, { task, attempt }: Readonly<{ task: string, attempt: number }>): LogFields => ({ cell, epoch, task, attempt })
