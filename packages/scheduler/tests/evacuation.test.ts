import test, { type ExecutionContext } from 'ava'
import { SeededRandom } from '@auburnpin/common'
import { acceptNote } from '@auburnpin/cluster'
import { noteSchema } from '@auburnpin/core'
import { FakeLink, FakeTableStore, IMMEDIATE } from '@auburnpin/fakes'
import { clusterWithVms } from './support/clusterWithVms.ts'
import type { SchedulerCluster } from './support/SchedulerCluster.ts'
import { specOf } from './support/World.ts'

const MINUTE_MS = 60_000
const IN_FORCE_MS = 5_000

const accept = async (t: ExecutionContext, { memory, clock }: SchedulerCluster, content: object): Promise<void> => {
  const table = new FakeTableStore(memory, new FakeLink(clock), 'operator')
  t.true((await acceptNote({ table, clock, random: new SeededRandom(9) }, noteSchema.parse({ id: Object.keys(content).join(), ...content }), 'tester')).ok)
}

const evacuate = (t: ExecutionContext, cluster: SchedulerCluster) => accept(t, cluster, { added: { evacuations: { colombo: { reason: 'power works' } } } })

const running = (cluster: SchedulerCluster): string[] =>
  [...cluster.vms.values()].flatMap(vm => vm.state.entries.filter(entry => entry.state === 'running').map(entry => String(entry.start.id))).sort()

test('the owner is killed right after the command: its successor assigns nothing there, leaves what runs, and goes on after the restoration', async t => {
  const cluster = clusterWithVms()
  for (const member of ['colombo.1', 'colombo.2']) cluster.start(member)
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  cluster.submit(specOf('order-1'))
  t.true(await cluster.until(MINUTE_MS, () => running(cluster).length === 1))
  await evacuate(t, cluster)
  cluster.kill([...cluster.owners.values()][0] ?? '')
  await cluster.clock.advance(IN_FORCE_MS)
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  cluster.submit(specOf('order-2'))
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), ['order-1'])
  await accept(t, cluster, { withdrawn: { evacuations: ['colombo'] } })
  t.true(await cluster.until(2 * IN_FORCE_MS, () => running(cluster).join() === 'order-1,order-2'))
})

test('a new process that owns the cell before it can read the configuration assigns nothing in the evacuated data centre', async t => {
  const cluster = clusterWithVms()
  cluster.start('colombo.1')
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  await evacuate(t, cluster)
  await cluster.clock.advance(IN_FORCE_MS)
  cluster.submit(specOf('order-1'))
  await cluster.clock.advance(IN_FORCE_MS)
  cluster.kill('colombo.1')
  cluster.deliveryOf = (_from, operation) => operation.startsWith('read config') ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  cluster.start('colombo.2')
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), [])
})
