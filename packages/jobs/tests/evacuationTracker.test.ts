import test from 'ava'
import { brand, Log, Metrics, VirtualClock, type CellId, type LogFields, type LogLevel, type MetricName } from '@auburnpin/common'
import { WorkerRecord, type RunOrder } from '@auburnpin/core'
import { workerEntryOf } from '@auburnpin/fakes'
import { EvacuationTracker } from '../src/EvacuationTracker.ts'
import { FIRST_CELL, KnownEvacuations, type OwnerPorts } from '../src/index.ts'

class RecordingLog extends Log {
  readonly records: Array<Readonly<{ message: string, fields: LogFields }>> = []

  write (_level: LogLevel, message: string, fields: LogFields): void {
    this.records.push({ message, fields })
  }

  forComponent (): Log {
    return this
  }

  get messages (): readonly string[] {
    return this.records.map(({ message }) => message)
  }
}

class RecordingMetrics extends Metrics {
  readonly gauges = new Map<MetricName, number>()

  count (): void {}

  timing (): void {}

  gauge (name: MetricName, value: number): void {
    this.gauges.set(name, value)
  }
}

/** A tracker of a cell with two workers each in derby and leeds. */
class Scenario {
  readonly clock = new VirtualClock()
  readonly log = new RecordingLog()
  readonly metrics = new RecordingMetrics()
  readonly evacuations = new KnownEvacuations(this.clock)
  readonly workers = ['w1', 'w2', 'w3', 'w4'].map((id, index) => new WorkerRecord(workerEntryOf(id, { zone: index < 2 ? 'derby' : 'leeds' }), this.clock.now(), 1_000))
  readonly tracker: EvacuationTracker

  constructor (cell: CellId = FIRST_CELL) {
    const ports: Pick<OwnerPorts, 'evacuations' | 'log' | 'metrics'> = this
    this.tracker = new EvacuationTracker(ports as OwnerPorts, cell)
  }

  update (): void {
    this.tracker.update(this.workers, new Map(this.workers.map(({ entry }) => [entry.id, entry])), this.clock.now())
  }
}

const ORDER: RunOrder = { kind: 'start', worker: brand('w1'), address: '', task: brand('00000000000000a1.0.0.0'), attempt: brand(1), spec: '', checkpoint: '', isLongRunning: false }

test('an operator sees in the log and the gauges when a data centre is evacuated and restored, once each', async t => {
  const scenario = new Scenario()
  scenario.evacuations.replaceAll([])
  scenario.update()
  t.deepEqual(scenario.log.records, [])
  t.is(scenario.metrics.gauges.size, 0)
  scenario.evacuations.update(['derby'], [])
  for (let pass = 0; pass < 3; pass++) scenario.update()
  t.deepEqual(scenario.log.records, [{ message: 'Data centre evacuated', fields: { cell: FIRST_CELL, dataCentre: 'derby', workers: 2, runs: 0, longRunningRuns: 0 } }])
  t.is(scenario.metrics.gauges.get('cell.evacuatedWorkers'), 2)
  await scenario.clock.advance(7_000)
  scenario.evacuations.update([], ['derby'])
  for (let pass = 0; pass < 3; pass++) scenario.update()
  t.deepEqual(scenario.log.records.slice(1), [{ message: 'Data centre restored', fields: { cell: FIRST_CELL, dataCentre: 'derby', evacuatedMs: 7_000, workers: 2, runs: 0, longRunningRuns: 0 } }])
  t.is(scenario.metrics.gauges.get('cell.evacuatedWorkers'), 0)
  t.deepEqual(scenario.workers.map(({ evacuation }) => evacuation), ['returning', 'returning', 'none', 'none'])
  await scenario.clock.advance(4_000)
  scenario.update()
  t.deepEqual(scenario.workers.map(({ evacuation }) => evacuation), ['none', 'none', 'none', 'none'])
})

test('an owner that takes over during a restoration continues its spread', async t => {
  const scenario = new Scenario()
  scenario.evacuations.replaceAll(['derby'])
  scenario.evacuations.update([], ['derby'])
  await scenario.clock.advance(10)
  scenario.update()
  t.deepEqual(scenario.workers.map(({ evacuation }) => evacuation), ['returning', 'returning', 'none', 'none'])
})

test('a row that names an unknown data centre is logged once by the owner of the first cell, and again only if it is written anew', t => {
  const scenario = new Scenario()
  const other = new Scenario(brand<CellId>('cell-1'))
  for (const { evacuations } of [scenario, other]) evacuations.replaceAll(['Derby'])
  for (let pass = 0; pass < 3; pass++) for (const each of [scenario, other]) each.update()
  t.deepEqual(scenario.log.messages, ['The evacuated data centre has no worker; check its name'])
  t.deepEqual(other.log.records, [])
  t.true(scenario.workers.every(({ evacuation }) => evacuation === 'none'))
  scenario.evacuations.update([], ['Derby'])
  scenario.update()
  scenario.evacuations.update(['Derby'], [])
  scenario.update()
  t.is(scenario.log.records.length, 2)
})

test('no order is admitted before the evacuations are known, nor for an evacuated data centre before the next pass', t => {
  const scenario = new Scenario()
  t.false(scenario.tracker.isKnown)
  t.false(scenario.tracker.isKnown)
  t.is(scenario.log.records.length, 1)
  const [inDerby, , inLeeds] = scenario.workers
  t.false(scenario.tracker.admits(ORDER, inDerby!))
  scenario.evacuations.replaceAll(['derby'])
  t.true(scenario.tracker.isKnown)
  t.false(scenario.tracker.admits(ORDER, inDerby!))
  t.true(scenario.tracker.admits(ORDER, inLeeds!))
})

test('a worker whose newer entry names another data centre follows that one', t => {
  const scenario = new Scenario()
  scenario.evacuations.replaceAll(['derby'])
  scenario.update()
  scenario.workers[0]?.update(workerEntryOf('w1', { zone: 'leeds' }))
  scenario.workers[2]?.update(workerEntryOf('w3', { zone: 'derby' }))
  scenario.update()
  t.deepEqual(scenario.workers.map(({ evacuation }) => evacuation), ['none', 'evacuated', 'evacuated', 'none'])
})
