import test from 'ava'
import { brand, type RackId, type TeamName } from '@auburnpin/common'
import { actionsOf, idsOf, PolicyScenario, replicaOf, sized, specOf, vmOf } from './support/PolicyScenario.ts'

test('an urgent task evicts batch work, reserves the freed capacity and starts once the stop is confirmed', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('order', 8))
  scenario.tick()
  scenario.report('order', 'running')
  scenario.submit(specOf('other', 8), specOf('check', 4, { isUrgent: true, acceptedAt: 9 }))
  const evicted = scenario.tick()
  t.deepEqual(idsOf(evicted, 'stopping'), ['order'])
  t.deepEqual(scenario.task('order').reason, { kind: 'evicted-for', task: scenario.task('check').spec.id })
  t.deepEqual(scenario.cell.explain(scenario.task('check').spec.id, scenario.now), { kind: 'waiting-for-eviction', vm: vmOf('vm-1').id })
  t.deepEqual(idsOf(scenario.tick(), 'stopping'), [], 'no second eviction for the same task')
  scenario.report('order', 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['check'])
  t.is(scenario.task('order').evictions, 1)
})

test('a task that fits on no VM is unrunnable, blocks no other, and runs once a VM on which it fits is listed', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('huge', 64), specOf('small', 1, { acceptedAt: 1 }))
  scenario.tick()
  t.is(scenario.task('huge').state, 'unrunnable')
  t.like(scenario.task('huge').reason, { kind: 'too-large', largest: { processors: 8 } })
  t.is(scenario.task('small').state, 'starting')
  scenario.withVms(vmOf('vm-2', { resources: sized(64, 64_000) }))
  scenario.tick()
  t.is(scenario.task('huge').placement?.vm, vmOf('vm-2').id)
})

test('a task that waits for free capacity does not block smaller ones behind it', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('first', 6))
  scenario.tick()
  scenario.submit(specOf('large', 8, { acceptedAt: 1 }), specOf('small', 2, { acceptedAt: 2 }))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['small'])
  t.deepEqual(scenario.cell.explain(scenario.task('large').spec.id, scenario.now), { kind: 'waiting-for-room' })
})

test('teams share by dominant resource relative to their quotas', t => {
  const desk = brand<TeamName>('desk')
  const scenario = new PolicyScenario().withVms(vmOf('vm-1', { resources: sized(30, 90_000) }))
    .withQuotas({ buyers: sized(20, 90_000), desk: sized(10, 90_000) })
  for (let index = 0; index < 40; index++) scenario.submit(specOf(`b${index}`, 1), specOf(`d${index}`, 1, { team: desk }))
  const assigned = idsOf(scenario.tick(), 'assigned')
  t.is(assigned.filter(id => id.startsWith('b')).length, 20)
  t.is(assigned.filter(id => id.startsWith('d')).length, 10)
  t.is(assigned.slice(0, 15).filter(id => id.startsWith('b')).length, 10, 'two to one from the start')
})

test('no team exceeds its quota, and explain gives that reason', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).withQuotas({ buyers: sized(3, 8_000) }).submit(specOf('a', 2), specOf('b', 2))
  scenario.tick()
  t.is(scenario.task('b').state, 'queued')
  t.like(scenario.cell.explain(scenario.task('b').spec.id, scenario.now), { kind: 'over-quota', team: 'buyers' })
})

test('replicas of a service are spread over VMs and racks', t => {
  const rack = brand<RackId>('r2')
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'), vmOf('vm-2'), vmOf('vm-3', { rack }))
    .withService(100, [replicaOf('s.0', 2), replicaOf('s.1', 2), replicaOf('s.2', 2)])
  scenario.tick()
  const vms = ['s.0', 's.1', 's.2'].map(id => scenario.task(id).placement?.vm)
  t.is(new Set(vms).size, 3)
  t.true([vms[0], vms[1]].includes(vmOf('vm-3').id), 'the second goes to the rack that has none')
})

test('tasks without accelerators avoid VMs that have them', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1', { resources: sized(8, 8_000, 4) }), vmOf('vm-2')).submit(specOf('plain', 2), specOf('train', 2, { resources: sized(2, 100, 2) }))
  scenario.tick()
  t.is(scenario.task('plain').placement?.vm, vmOf('vm-2').id)
  t.is(scenario.task('train').placement?.vm, vmOf('vm-1').id)
})

test('a worker on which distinct tasks fail is quarantined, then probed with one task at a time', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'))
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    scenario.submit(specOf(id, 8, { command: `work${index}` }))
    scenario.tick()
    scenario.report(id, 'failed')
    scenario.step({ kind: 'cancelled', task: scenario.task(id).spec.id })
  }
  scenario.submit(specOf('d', 1), specOf('e', 1))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), [])
  t.deepEqual(scenario.cell.explain(scenario.task('d').spec.id, scenario.now), { kind: 'waiting-for-workers' })
  for (let second = 0; second < 29; second++) t.deepEqual(idsOf(scenario.tick(1_000), 'assigned'), [])
  t.is(idsOf(scenario.tick(1_500), 'assigned').length, 1, 'one probe')
  t.deepEqual(idsOf(scenario.tick(1_500), 'assigned'), [])
  scenario.report('d', 'finished')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['e'])
})

test('a workload that fails on every worker quarantines none of them, and its task fails for good', t => {
  const scenario = new PolicyScenario().withVms(...[1, 2, 3, 4, 5, 6].map(index => vmOf(`vm-${index}`))).submit(specOf('bad', 1))
  const failedOn = new Set<string>()
  for (let attempt = 0; attempt < 5; attempt++) {
    scenario.tick()
    failedOn.add(String(scenario.task('bad').placement?.vm))
    scenario.report('bad', 'failed')
  }
  t.is(scenario.task('bad').state, 'failed')
  t.is(failedOn.size, 5, 'each attempt on another VM')
  scenario.submit(specOf('good', 1, { command: 'other' }))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['good'])
})

test('mitigation throttles, waits until samples show the effect, and never acts twice on stale samples', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'), vmOf('vm-2')).withService(100, [replicaOf('s.0', 2)])
  scenario.tick()
  const vm = String(scenario.task('s.0').placement?.vm)
  const other = vm === 'vm-1' ? 'vm-2' : 'vm-1'
  scenario.submit(specOf('filler', 8)).tick()
  t.is(scenario.task('filler').placement?.vm, vmOf(other).id)
  scenario.submit(specOf('noisy', 4)).tick()
  t.is(scenario.task('noisy').placement?.vm, vmOf(vm).id)
  for (let index = 0; index < 4; index++) scenario.sample(vm, 300 + index, 300)
  const first = scenario.tick(10_000)
  t.deepEqual(actionsOf(first), ['throttle'])
  t.like(scenario.cell.explain(scenario.task('noisy').spec.id, scenario.now), { kind: 'throttled-for', service: 'stockline' })
  scenario.report('filler', 'finished')
  for (let index = 0; index < 8; index++) scenario.sample(vm, 4_000 + index, 300)
  t.deepEqual(actionsOf(scenario.tick()), [], 'measured before the throttle')
  scenario.tick(10_000)
  for (let index = 0; index < 8; index++) scenario.sample(vm, scenario.now - 100 + index, 300)
  t.deepEqual(idsOf(scenario.tick(), 'stopping'), ['noisy'], 'measured after the throttle')
})

test('a throttled task is evicted only if another VM can take it', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).withService(100, [replicaOf('s.0', 2)])
  scenario.tick()
  scenario.submit(specOf('noisy', 4)).tick()
  const sampleOverObjective = (): void => {
    scenario.tick(10_000)
    for (let index = 1; index <= 8; index++) scenario.sample('vm-1', scenario.now - 100 + index, 300)
  }
  for (let round = 0; round < 6; round++) {
    sampleOverObjective()
    t.deepEqual(idsOf(scenario.tick(), 'stopping'), [])
  }
  scenario.withVms(vmOf('vm-2'))
  sampleOverObjective()
  t.deepEqual(idsOf(scenario.tick(), 'stopping'), ['noisy'])
  t.like(scenario.task('noisy').reason, { kind: 'evicted-for-service', service: 'stockline' })
})

test('a new owner counts restored replicas by rack and lifts the throttles of its predecessor', t => {
  const predecessor = new PolicyScenario().withVms(vmOf('vm-1')).withService(100, [replicaOf('s.0', 2)])
  const journal = [...predecessor.tick().transitions, ...predecessor.submit(specOf('noisy', 4)).tick().transitions]
  const specs = [replicaOf('s.0', 2), specOf('noisy', 4)]
  const scenario = new PolicyScenario()
  scenario.cell.restore([...specs.map(spec => ({ kind: 'accepted' as const, spec })), ...journal], scenario.now)
  scenario.withVms(vmOf('vm-1'), vmOf('vm-2'), vmOf('vm-3', { rack: brand<RackId>('r2') }))
  t.deepEqual(actionsOf(scenario.tick()), ['throttle'])
  t.deepEqual(actionsOf(scenario.tick()), [], 'once')
  scenario.withService(100, [replicaOf('s.0', 2), replicaOf('s.1', 2)]).tick()
  t.is(scenario.task('s.1').placement?.vm, vmOf('vm-3').id)
})

test('a burst of submissions and its cancellation starve neither urgent work nor other teams', t => {
  const desk = brand<TeamName>('desk')
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'))
  for (let index = 0; index < 5_000; index++) scenario.submit(specOf(`b${index}`, 1 + (index % 3), { acceptedAt: index }))
  scenario.submit(specOf('d', 1, { team: desk, acceptedAt: 9_000 }), specOf('u', 1, { isUrgent: true, acceptedAt: 9_001 }))
  const first = idsOf(scenario.tick(), 'assigned')
  t.deepEqual(first.slice(0, 2), ['u', 'd'], 'desk has used nothing, so it goes before the burst')
  for (let index = 0; index < 5_000; index++) scenario.step({ kind: 'cancelled', task: scenario.task(`b${index}`).spec.id })
  scenario.submit(specOf('late', 1, { acceptedAt: 10_000 }))
  for (const id of first.slice(2)) scenario.report(id, 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['late'])
  t.is([...scenario.cell.state.tasks.values()].filter(({ state }) => state === 'cancelled').length, 5_000)
})

test('waiting lowers the rank of a team until it is served before one with a smaller share', t => {
  const desk = brand<TeamName>('desk')
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).withQuotas({ buyers: sized(16, 8_000), desk: sized(16, 8_000) })
  scenario.submit(specOf('b0', 4), specOf('d0', 1, { team: desk }), specOf('filler', 3, { team: brand<TeamName>('other') })).tick()
  scenario.submit(specOf('b1', 3, { acceptedAt: 1 })).tick()
  t.is(scenario.task('b1').state, 'queued')
  for (let minute = 0; minute < 5; minute++) scenario.tick(60_000)
  scenario.submit(specOf('d1', 3, { team: desk, acceptedAt: 2 }))
  scenario.report('filler', 'finished')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['b1'], 'buyers have the larger share, but have waited for five minutes')
})

test('the eviction budget limits the evictions for services over the whole cell', t => {
  const scenario = new PolicyScenario({ throttles: false, evictionsPerMinute: 2 })
    .withVms(...[1, 2, 3, 4].map(index => vmOf(`vm-${index}`))).withService(100, [1, 2, 3, 4].map(index => replicaOf(`s.${index}`, 2)))
  scenario.tick()
  for (let index = 1; index <= 4; index++) scenario.submit(specOf(`noisy${index}`, 4, { command: 'noisy' }))
  scenario.tick()
  scenario.withVms(vmOf('vm-9'), vmOf('vm-10'))
  scenario.tick(10_000)
  for (let index = 1; index <= 8; index++) {
    for (let vm = 1; vm <= 4; vm++) scenario.sample(`vm-${vm}`, scenario.now - 100 + index, 300)
  }
  t.is(idsOf(scenario.tick(), 'stopping').length, 2)
})

test('capacity reserved for an urgent task is not given to other tasks', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('a', 4), specOf('b', 4))
  scenario.tick()
  scenario.submit(specOf('small', 4), specOf('check', 8, { isUrgent: true, acceptedAt: 9 }))
  t.deepEqual(idsOf(scenario.tick(), 'stopping').sort(), ['a', 'b'])
  scenario.report('a', 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), [], 'only half of the capacity is free')
  scenario.report('b', 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['check'])
})

test('many tasks of a workload that fails everywhere quarantine no worker', t => {
  const vms = [1, 2, 3, 4].map(index => vmOf(`vm-${index}`))
  const scenario = new PolicyScenario().withVms(...vms)
  for (let round = 0; round < 3; round++) {
    const ids = [0, 1, 2, 3].map(index => `bad${round}-${index}`)
    scenario.submit(...ids.map(id => specOf(id, 8, { command: 'bad' }))).tick()
    for (const id of ids) scenario.report(id, 'failed')
    for (const id of ids) scenario.step({ kind: 'cancelled', task: scenario.task(id).spec.id })
  }
  scenario.submit(...vms.map(({ id }) => specOf(`good-${id}`, 8, { command: 'good' })))
  t.is(idsOf(scenario.tick(), 'assigned').length, 4)
})

test('small tasks of an unproven workload that fail together on one worker do not quarantine it', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'), vmOf('vm-2'))
  const ids = ['a', 'b', 'c', 'd']
  scenario.submit(...ids.map(id => specOf(id, 1, { command: 'bad' }))).tick()
  t.is(new Set(ids.map(id => scenario.task(id).placement?.vm)).size, 1)
  for (const id of ids) scenario.report(id, 'failed')
  for (const id of ids) scenario.step({ kind: 'cancelled', task: scenario.task(id).spec.id })
  scenario.submit(specOf('x', 8, { command: 'good' }), specOf('y', 8, { command: 'good' }))
  t.is(idsOf(scenario.tick(), 'assigned').length, 2)
})

test('a newly listed VM is used in the next pass', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('a', 8), specOf('b', 8))
  scenario.tick()
  scenario.tick()
  scenario.withVms(vmOf('vm-2'))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['b'])
})
