import test from 'ava'
import { brand, SilentLog, SilentMetrics, type Epoch, type Instant, type LogFields, type LogLevel, type MetricName, type MetricTags } from '@auburnpin/common'
import { JobScheduler } from '@auburnpin/core'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { ReserveReporter } from '../src/ReserveReporter.ts'

test('an operator sees the demand, the reserve and the data centre with the least free capacity, and when the reserve is constant again', t => {
  const at = (ms: number): Instant => brand<Instant>(ms)
  const records: LogFields[] = []
  const gauges = new Map<string, number>()
  const log = Object.assign(new SilentLog(), { write: (_level: LogLevel, message: string, fields: LogFields = {}) => { records.push({ message, ...fields }) } })
  const metrics = Object.assign(new SilentMetrics(), { gauge: (name: MetricName, value: number, { dataCentre = '' }: MetricTags = {}) => { gauges.set(`${name} ${dataCentre}`.trim(), value) } })
  const scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: 4_000 }, at(0), new SilentJobSchedulerObserver(), { maxReservedShare: 0.6 })
  scheduler.replaceWorkers(['east', 'east', 'west', 'west'].map((zone, index) => workerEntryOf(`w${index}`, { zone })), at(0))
  for (const worker of scheduler.workers.values()) scheduler.applyReport(worker.entry.id, { incarnation: worker.entry.incarnation, clockMs: 0, running: [], ended: [] }, at(0), at(0))
  const reporter = new ReserveReporter({ log, metrics }, scheduler)
  reporter.report(at(0))
  t.deepEqual(records, [])
  scheduler.addJob(jobOf('00000000000000a1', [stepOf({ taskCount: 5, processors: 5_000 })]), at(0))
  scheduler.decide(at(0), 0)
  scheduler.decide(at(100), 100)
  reporter.report(at(100))
  t.like(records[0], { service: 'desk', demand: 25_000, taskProcessors: 5_000, constant: 1, added: 1, usable: 10_000, limit: 'share', scarcest: 'east' })
  t.is(records[0]?.dataCentres, 'east:0/2 usable=0 free=6000 largestFree=3000; west:2/2 usable=10000 free=6000 largestFree=3000')
  t.deepEqual([...gauges], [['reserve.largestFree east', 3], ['reserve.largestFree west', 3], ['reserve.workers', 2], ['reserve.usable', 10], ['reserve.demand', 25]])
  reporter.report(at(34_000))
  t.is(records[1]?.message, 'Short tasks find capacity without waiting; the constant share is reserved')
  t.is(records.length, 2)
  reporter.stop()
  t.true([...gauges.values()].every(value => value === 0))
})
