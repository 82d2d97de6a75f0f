import test from 'ava'
import { brand, Log, SilentMetrics, VirtualClock, type CellId, type LogFields, type LogLevel } from '@auburnpin/common'
import { ProcessUsage, type UsedTime } from '../src/index.ts'
import { OwnerLoad } from '../src/OwnerLoad.ts'

class RecordingLog extends Log {
  readonly records: LogFields[] = []

  write (_level: LogLevel, _message: string, fields: LogFields = {}): void {
    this.records.push(fields)
  }

  forComponent (): Log {
    return this
  }
}

class GivenUsage extends ProcessUsage {
  used: UsedTime = { processorMs: 500, garbageCollectionMs: 100 }

  read (): UsedTime {
    return this.used
  }
}

const create = (): { clock: VirtualClock, log: RecordingLog, usage: GivenUsage, load: OwnerLoad } => {
  const clock = new VirtualClock()
  const log = new RecordingLog()
  const usage = new GivenUsage()
  return { clock, log, usage, load: new OwnerLoad({ clock, log, metrics: new SilentMetrics(), usage }, brand<CellId>('cell-0')) }
}

test('an operator sees what share of a core an owner used, how much of it for garbage collection, and how late its starts are', async t => {
  const { clock, log, usage, load } = create()
  for (const durationMs of [10, 30]) load.recordPass(durationMs)
  for (const durationMs of [5, 100]) load.recordStart(durationMs)
  load.recordReport()
  load.recordTick(40)
  await clock.advance(2_000)
  usage.used = { processorMs: 1_500, garbageCollectionMs: 500 }
  load.report()
  t.deepEqual(log.records, [{ cell: 'cell-0', overMs: 2_000, processorPercent: 50, garbageCollectionPercent: 20, passes: 2, passMs: 20, longestPassMs: 30, loopDelayMs: 40, starts: 2, startMs: 52.5, longestStartMs: 100, reports: 1 }])
})

test('each record counts only what came after the one before', async t => {
  const { clock, log, load } = create()
  load.recordPass(10)
  load.report()
  await clock.advance(2_000)
  load.report()
  const { passes, passMs, processorPercent } = log.records.at(-1) ?? {}
  t.deepEqual([passes, passMs, processorPercent], [0, 0, 0])
})

test('while answers wait for the owner, it asks each worker less often, and soon as often as before once they are prompt', t => {
  const { load } = create()
  load.recordStart(4)
  t.is(load.reportIntervalMs, 25)
  for (let start = 0; start < 100; start++) load.recordStart(120)
  t.is(Math.round(load.reportIntervalMs), 119)
  for (let start = 0; start < 100; start++) load.recordStart(2_000)
  t.is(load.reportIntervalMs, 200)
  for (let start = 0; start < 100; start++) load.recordStart(4)
  t.true(load.reportIntervalMs < 30)
})
