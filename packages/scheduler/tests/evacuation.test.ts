import test, { type ExecutionContext } from 'ava'
import { brand, SeededRandom, type DataCentre, type RackId, type VmId } from '@auburnpin/common'
import { acceptNote } from '@auburnpin/cluster'
import { noteSchema } from '@auburnpin/core'
import { FakeLink, FakeTableStore, FakeVmWorker, IMMEDIATE } from '@auburnpin/fakes'
import { RetryingTable, type VmEntry } from '@auburnpin/ports'
import { SchedulerCluster } from './support/SchedulerCluster.ts'
import { specOf, VM_CAPACITY } from './support/World.ts'

const MINUTE_MS = 60_000
const IN_FORCE_MS = 5_000
const EVACUATE = { added: { evacuations: { colombo: { reason: 'power works' } } } }
const RESTORE = { withdrawn: { evacuations: ['colombo'] } }

const clusterWithVms = (): SchedulerCluster => {
  const cluster = new SchedulerCluster(['colombo'], 1)
  const entries: VmEntry[] = []
  for (const name of ['vm-1', 'vm-2']) {
    cluster.vms.set(name, new FakeVmWorker(VM_CAPACITY, cluster.clock, () => ({ kind: 'stay' })))
    entries.push({ id: brand<VmId>(name), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: name, resources: VM_CAPACITY, state: 'live' })
  }
  cluster.vmList.set(entries)
  return cluster
}

/** Accepts a note as an operator's request at a member that no test ends. */
const accept = async (t: ExecutionContext, cluster: SchedulerCluster, id: string, content: object): Promise<void> => {
  const random = new SeededRandom(9)
  const table = new RetryingTable(new FakeTableStore(cluster.memory, new FakeLink(cluster.clock), 'operator'), cluster.clock, random, 10_000)
  t.true((await acceptNote({ table, clock: cluster.clock, random }, noteSchema.parse({ id, ...content }), 'tester')).ok)
}

const running = (cluster: SchedulerCluster): string[] =>
  [...cluster.vms.values()].flatMap(vm => vm.state.entries.filter(entry => entry.state === 'running').map(entry => String(entry.start.id))).sort()

const runOneJob = async (t: ExecutionContext, members: readonly string[]): Promise<SchedulerCluster> => {
  const cluster = clusterWithVms()
  for (const member of members) cluster.start(member)
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  cluster.submit(specOf('order-1'))
  t.true(await cluster.until(MINUTE_MS, () => running(cluster).length === 1))
  return cluster
}

test('the owner is killed right after the command: its successor assigns nothing in the evacuated data centre and leaves what runs', async t => {
  const cluster = await runOneJob(t, ['colombo.1', 'colombo.2'])
  await accept(t, cluster, 'close', EVACUATE)
  const [owner] = cluster.owners.values()
  cluster.kill(owner ?? '')
  await cluster.clock.advance(IN_FORCE_MS)
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  cluster.submit(specOf('order-2'))
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), ['order-1'])
  await accept(t, cluster, 'open', RESTORE)
  t.true(await cluster.until(2 * IN_FORCE_MS, () => running(cluster).includes('order-2')))
  t.deepEqual(running(cluster), ['order-1', 'order-2'])
})

test('a new process that owns the cell before it can read the configuration assigns nothing in the evacuated data centre', async t => {
  const cluster = await runOneJob(t, ['colombo.1'])
  await accept(t, cluster, 'close', EVACUATE)
  await cluster.clock.advance(IN_FORCE_MS)
  cluster.submit(specOf('order-2'))
  await cluster.clock.advance(IN_FORCE_MS)
  cluster.kill('colombo.1')
  cluster.deliveryOf = (_from, operation) => operation.startsWith('read config') ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  cluster.start('colombo.2')
  t.true(await cluster.until(MINUTE_MS, () => cluster.isAllOwned))
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), ['order-1'])
  cluster.deliveryOf = () => IMMEDIATE
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), ['order-1'])
  await accept(t, cluster, 'open', RESTORE)
  t.true(await cluster.until(2 * IN_FORCE_MS, () => running(cluster).includes('order-2')))
})

test('the VM list is unavailable when the command is given: the evacuation is in force within 5 s all the same', async t => {
  const cluster = await runOneJob(t, ['colombo.1'])
  cluster.deliveryOf = (_from, operation) => operation === 'read' ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  await accept(t, cluster, 'close', EVACUATE)
  await cluster.clock.advance(IN_FORCE_MS)
  cluster.submit(specOf('order-2'))
  await cluster.clock.advance(MINUTE_MS)
  t.deepEqual(running(cluster), ['order-1'])
})
