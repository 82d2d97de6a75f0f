import test from 'ava'
import { brand, Log, SilentMetrics, type Attempt, type Epoch, type LeaseSession, type LogFields, type LogLevel, type TaskId, type VmId } from '@auburnpin/common'
import { CellState, type Transition } from '@auburnpin/core'
import { reportTransitions } from '../src/reportTransitions.ts'
import { CELL } from './support/World.ts'

class RecordingLog extends Log {
  readonly records: Array<Readonly<{ level: LogLevel, fields: LogFields }>> = []

  write (level: LogLevel, _message: string, fields: LogFields = {}): void {
    this.records.push({ level, fields })
  }

  forComponent (): Log {
    return this
  }
}

const attempt = { task: brand<TaskId>('order-1'), attempt: brand<Attempt>(2) }
const vm = brand<VmId>('vm-1')

const TRANSITIONS: readonly Transition[] = [
  { kind: 'assigned', ...attempt, vm, session: brand<LeaseSession>('s') },
  { kind: 'stopping', ...attempt, reason: { kind: 'vm-leaving', vm } },
  { kind: 'ended', ...attempt, end: 'lost', reason: { kind: 'vm-lost', vm } },
  { kind: 'forgotten', task: attempt.task }
]

test('every log record of an attempt contains cell, epoch, task and attempt, and the reason of its end', t => {
  const log = new RecordingLog()
  reportTransitions(TRANSITIONS, { cell: CELL, epoch: brand<Epoch>(7) }, new CellState(), log, new SilentMetrics())
  t.is(log.records.length, 3)
  for (const { fields } of log.records) t.like(fields, { cell: CELL, epoch: 7, task: 'order-1', attempt: 2 })
  t.deepEqual(log.records.map(({ level }) => level), ['debug', 'info', 'info'])
  t.deepEqual(log.records.map(({ fields }) => fields.reason), [undefined, 'vm-leaving', 'vm-lost'])
})
