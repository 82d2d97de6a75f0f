import test from 'ava'
import { IMMEDIATE } from '@auburnpin/fakes'
import { clusterWithVms } from './support/clusterWithVms.ts'
import type { SchedulerCluster } from './support/SchedulerCluster.ts'
import { specOf } from './support/World.ts'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const JOB = 'order-1'

const startsOf = (cluster: SchedulerCluster): number =>
  [...cluster.vms.values()].flatMap(vm => [...vm.state.events]).filter(event => event.kind === 'started').length

const isRunning = (cluster: SchedulerCluster): boolean =>
  [...cluster.vms.values()].some(vm => vm.state.entries.some(entry => entry.start.id === JOB && entry.state === 'running'))

test('owners are killed one after the other during a store outage; their tasks keep running and none is started twice', async t => {
  const cluster = clusterWithVms()
  for (const member of ['colombo.1', 'colombo.2', 'colombo.3']) cluster.start(member)
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  const [cell] = cluster.owners.keys()
  const spec = specOf(JOB)
  t.truthy(cell)
  cluster.submit(spec)
  t.true(await cluster.until(MINUTE_MS, () => isRunning(cluster)))
  await cluster.clock.advance(MINUTE_MS)
  cluster.deliveryOf = (_from, operation) => /^(transact|read|list) /.test(operation) ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  await cluster.clock.advance(MINUTE_MS / 2)
  for (let killed = 0; killed < 2; killed++) {
    const [victim] = killed === 0 ? cluster.owners.values() : cluster.names
    cluster.kill(victim ?? '')
    await cluster.clock.advance(HOUR_MS / 4)
    t.true(isRunning(cluster), `after ${killed + 1} kills`)
  }
  cluster.deliveryOf = () => IMMEDIATE
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  await cluster.clock.advance(MINUTE_MS)
  t.true(isRunning(cluster))
  t.is(startsOf(cluster), 1)
})

test('no member renews leases in place of an owner while the store is available', async t => {
  const cluster = clusterWithVms()
  cluster.start('colombo.1')
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  cluster.submit(specOf(JOB))
  t.true(await cluster.until(MINUTE_MS, () => isRunning(cluster)))
  const leases = cluster.leases
  cluster.start('colombo.2')
  await cluster.clock.advance(MINUTE_MS)
  t.is(leases.get('colombo.2#1') ?? 0, 0)
  t.true((leases.get('colombo.1#1') ?? 0) > 0)
})
