import test from 'ava'
import { brand, Log, SilentMetrics, VirtualClock, type CellId, type Instant, type LogFields, type LogLevel } from '@auburnpin/common'
import { WorkerRecord, type RunOrder } from '@auburnpin/core'
import { workerEntryOf } from '@auburnpin/fakes'
import { EvacuationTracker } from '../src/EvacuationTracker.ts'
import { FIRST_CELL, KnownEvacuations, type OwnerPorts } from '../src/index.ts'

/** The log of a tracker of a cell with two workers each in derby and leeds. */
class Scenario extends Log {
  readonly clock = new VirtualClock()
  readonly records: Array<Readonly<{ message: string, fields: LogFields }>> = []
  /** When the list was last confirmed; at all times unless it is set. */
  confirmedAt: Instant | undefined
  readonly evacuations = new KnownEvacuations(this.clock, () => this.confirmedAt ?? this.clock.now())
  readonly workers = ['w1', 'w2', 'w3', 'w4'].map((id, index) => new WorkerRecord(workerEntryOf(id, { zone: index < 2 ? 'derby' : 'leeds' }), this.clock.now(), 1_000))
  readonly tracker: EvacuationTracker

  constructor (cell: CellId = FIRST_CELL) {
    super()
    const ports: Pick<OwnerPorts, 'evacuations' | 'log' | 'metrics'> = { evacuations: this.evacuations, log: this, metrics: new SilentMetrics() }
    this.tracker = new EvacuationTracker(ports as OwnerPorts, cell)
  }

  write (_level: LogLevel, message: string, fields: LogFields): void {
    this.records.push({ message, fields })
  }

  forComponent (): Log {
    return this
  }

  /** Runs some passes and returns the states of the workers. */
  update (passes = 3): string {
    for (; passes > 0; passes--) this.tracker.update(this.workers, new Map(this.workers.map(({ entry }) => [entry.id, entry])), this.clock.now())
    return this.workers.map(({ evacuation }) => evacuation).join(' ')
  }
}

const ORDER: RunOrder = { kind: 'start', worker: brand('w1'), address: '', task: brand('00000000000000a1.0.0.0'), attempt: brand(1), spec: '', checkpoint: '', isLongRunning: false }

test('the log tells once each that a data centre is evacuated and restored, and workers return one after another, also under the next owner', async t => {
  const scenario = new Scenario()
  scenario.evacuations.replaceAll([])
  t.is(scenario.update(), 'none none none none')
  scenario.evacuations.update(['derby'], [])
  t.is(scenario.update(), 'evacuated evacuated none none')
  await scenario.clock.advance(7_000)
  scenario.evacuations.update([], ['derby'])
  t.is(scenario.update(), 'returning returning none none')
  const counts = { workers: 2, runs: 0, longRunningRuns: 0 }
  t.deepEqual(scenario.records, [
    { message: 'Data centre evacuated', fields: { cell: FIRST_CELL, dataCentre: 'derby', ...counts } },
    { message: 'Data centre restored', fields: { cell: FIRST_CELL, dataCentre: 'derby', evacuatedMs: 7_000, ...counts } }
  ])
  const next = new Scenario()
  next.evacuations.replaceAll(['derby'])
  next.evacuations.update([], ['derby'])
  t.is(next.update(), 'returning returning none none')
  await scenario.clock.advance(4_000)
  t.is(scenario.update(), 'none none none none')
})

test('a row that names an unknown data centre is logged once, by the owner of the first cell, until it is written anew', t => {
  const [scenario, other] = [new Scenario(), new Scenario(brand<CellId>('cell-1'))]
  for (const each of [scenario, other]) {
    each.evacuations.replaceAll(['Derby'])
    t.is(each.update(), 'none none none none')
  }
  t.deepEqual([scenario.records.length, other.records.length], [1, 0])
  scenario.evacuations.update([], ['Derby'])
  scenario.update()
  scenario.evacuations.update(['Derby'], [])
  scenario.update()
  t.is(scenario.records.length, 2)
})

test('no order is admitted before the evacuations are known, nor for an evacuated data centre before the next pass', t => {
  const { tracker, evacuations, workers: [inDerby, , inLeeds] } = new Scenario()
  t.false(tracker.isKnown)
  t.false(tracker.admits(ORDER, inDerby!))
  evacuations.replaceAll(['derby'])
  t.true(tracker.isKnown)
  t.false(tracker.admits(ORDER, inDerby!))
  t.true(tracker.admits(ORDER, inLeeds!))
  // A newer entry may name another data centre.
  inDerby!.update(workerEntryOf('w1', { zone: 'leeds' }))
  t.true(tracker.admits(ORDER, inDerby!))
})

test('failure: the list is not confirmed any more although the term is held, and tasks start again once it is', async t => {
  const scenario = new Scenario()
  t.false(scenario.tracker.isKnown)
  scenario.evacuations.replaceAll([])
  scenario.confirmedAt = scenario.clock.now()
  await scenario.clock.advance(10_000)
  t.true(scenario.tracker.isKnown)
  await scenario.clock.advance(1)
  t.false(scenario.tracker.isKnown)
  scenario.confirmedAt = scenario.clock.now()
  t.true(scenario.tracker.isKnown)
})
