import test from 'ava'
import { brand, Log, Metrics, SilentMetrics, type Attempt, type Epoch, type LeaseSession, type LogFields, type LogLevel, type MetricName, type TaskId, type VmId } from '@auburnpin/common'
import { CellState, CRASHES_TO_GIVE_UP, type Transition } from '@auburnpin/core'
import { reportTransitions } from '../src/reportTransitions.ts'
import { CELL, specOf } from './support/World.ts'

class RecordingLog extends Log {
  readonly records: Array<Readonly<{ level: LogLevel, message: string, fields: LogFields }>> = []

  write (level: LogLevel, message: string, fields: LogFields = {}): void {
    this.records.push({ level, message, fields })
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

class RecordingMetrics extends Metrics {
  readonly counts = new Map<MetricName, number>()

  count (name: MetricName, amount = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + amount)
  }

  gauge (): void {}
  timing (): void {}
}

test('each crash of a worker gives one record that names the suspects, and a task that is given up one with its VMs', t => {
  const log = new RecordingLog()
  const metrics = new RecordingMetrics()
  const state = new CellState()
  const term = { cell: CELL, epoch: brand<Epoch>(7) }
  const ids = ['recipe-import', 'order-1']
  for (const id of ids) state.apply({ kind: 'accepted', spec: specOf(id) }, brand(0))
  for (let count = 1; count <= CRASHES_TO_GIVE_UP; count++) {
    const place = brand<VmId>(`vm-${count}`)
    const lost = ids.map((id): Transition => ({
      kind: 'ended', task: brand<TaskId>(id), attempt: brand<Attempt>(count), end: 'lost', reason: { kind: 'vm-lost', vm: place }, crash: id === 'order-1' ? 'bystander' : 'suspect'
    }))
    for (const id of ids) state.apply({ kind: 'assigned', task: brand<TaskId>(id), attempt: brand<Attempt>(count), vm: place, session: brand<LeaseSession>('s') }, brand(0))
    for (const transition of lost) state.apply(transition, brand(0))
    reportTransitions(lost, term, state, log, metrics)
  }
  const warnings = log.records.filter(({ level }) => level === 'warn')
  t.deepEqual(warnings.map(({ message }) => message), [...Array<string>(CRASHES_TO_GIVE_UP).fill('Worker crashed'), 'Task is given up: each worker in a row that started it crashed'])
  t.like(warnings[0]?.fields, { cell: CELL, epoch: 7, vm: 'vm-1', attempts: 2, suspects: 'recipe-import' })
  t.like(warnings.at(-1)?.fields, { cell: CELL, epoch: 7, task: 'recipe-import', attempt: CRASHES_TO_GIVE_UP, vms: 'vm-1, vm-2, vm-3' })
  t.deepEqual([...metrics.counts], [['tasks.suspected', CRASHES_TO_GIVE_UP], ['tasks.givenUp', 1]])
})
