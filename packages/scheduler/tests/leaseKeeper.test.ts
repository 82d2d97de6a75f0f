import test from 'ava'
import { brand, type DataCentre, type RackId, type VmId } from '@auburnpin/common'
import { FakeVmWorker, PROMPT } from '@auburnpin/fakes'
import type { VmEntry } from '@auburnpin/ports'
import { Owners } from './support/Owners.ts'
import { VM_CAPACITY, specOf } from './support/World.ts'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const JOB = 'order-1'

const region = (): Owners => {
  const owners = new Owners(['colombo'], 1)
  const entries: VmEntry[] = []
  for (const name of ['vm-1', 'vm-2']) {
    owners.vms.set(name, new FakeVmWorker(VM_CAPACITY, owners.clock, () => ({ kind: 'stay' })))
    entries.push({ id: brand<VmId>(name), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: name, resources: VM_CAPACITY, state: 'live' })
  }
  owners.vmList.set(entries)
  return owners
}

const startsOf = (owners: Owners): number =>
  [...owners.vms.values()].flatMap(vm => [...vm.state.events]).filter(event => event.kind === 'started').length

const isRunning = (owners: Owners): boolean =>
  [...owners.vms.values()].some(vm => vm.state.entries.some(entry => entry.start.id === JOB && entry.state === 'running'))

test('owners are killed one after the other during a store outage; their tasks keep running and none is started twice', async t => {
  const owners = region()
  for (const member of ['colombo.1', 'colombo.2', 'colombo.3']) owners.start(member)
  t.true(await owners.until(MINUTE_MS, () => owners.isAllOwned))
  const [cell] = owners.owners.keys()
  const spec = specOf(JOB)
  t.truthy(cell)
  owners.submit(spec)
  t.true(await owners.until(MINUTE_MS, () => isRunning(owners)))
  await owners.clock.advance(MINUTE_MS)
  owners.fates = (_from, operation) => /^(transact|read|list) /.test(operation) ? { ...PROMPT, loss: 'refused' } : PROMPT
  await owners.clock.advance(MINUTE_MS / 2)
  for (let killed = 0; killed < 2; killed++) {
    const [victim] = killed === 0 ? owners.owners.values() : owners.names
    owners.kill(victim ?? '')
    await owners.clock.advance(HOUR_MS / 4)
    t.true(isRunning(owners), `after ${killed + 1} kills`)
  }
  owners.fates = () => PROMPT
  t.true(await owners.until(MINUTE_MS, () => owners.isAllOwned))
  await owners.clock.advance(MINUTE_MS)
  t.true(isRunning(owners))
  t.is(startsOf(owners), 1)
})

test('no member renews leases in place of an owner while the store is available', async t => {
  const owners = region()
  owners.start('colombo.1')
  t.true(await owners.until(MINUTE_MS, () => owners.isAllOwned))
  owners.submit(specOf(JOB))
  t.true(await owners.until(MINUTE_MS, () => isRunning(owners)))
  const leases = owners.leases
  owners.start('colombo.2')
  await owners.clock.advance(MINUTE_MS)
  t.is(leases.get('colombo.2#1') ?? 0, 0)
  t.true((leases.get('colombo.1#1') ?? 0) > 0)
})
