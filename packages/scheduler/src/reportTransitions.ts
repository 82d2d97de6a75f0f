/**
 * Logs and metrics of the transitions of a cell.
 */
import type { Log, LogFields, Metrics } from '@auburnpin/common'
import type { CellState, CellTerm, Transition } from '@auburnpin/core'

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
}

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
