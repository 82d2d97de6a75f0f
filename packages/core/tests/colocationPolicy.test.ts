import test from 'ava'
import { brand, type RackId, type TeamName } from '@auburnpin/common'
import { actionsOf, idsOf, PolicyStory, replicaOf, sized, specOf, vmOf } from './support/PolicyStory.ts'

test('urgent work evicts batch work, keeps the room for itself and starts once the stop is confirmed', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).submit(specOf('order', 8))
  story.tick()
  story.report('order', 'running')
  story.submit(specOf('other', 8), specOf('check', 4, { isUrgent: true, acceptedAt: 9 }))
  const evicted = story.tick()
  t.deepEqual(idsOf(evicted, 'stopping'), ['order'])
  t.deepEqual(story.task('order').reason, { kind: 'evicted-for', task: story.task('check').spec.id })
  t.deepEqual(story.cell.explain(story.task('check').spec.id, story.now), { kind: 'waiting-for-eviction', vm: vmOf('vm-1').id })
  t.deepEqual(idsOf(story.tick(), 'stopping'), [], 'no second eviction for the same task')
  story.report('order', 'stopped')
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['check'])
  t.is(story.task('order').evictions, 1)
})

test('a job that fits nowhere is unrunnable, blocks nobody, and runs when a VM for it comes up', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).submit(specOf('huge', 64), specOf('small', 1, { acceptedAt: 1 }))
  story.tick()
  t.is(story.task('huge').state, 'unrunnable')
  t.like(story.task('huge').reason, { kind: 'too-large', largest: { processors: 8 } })
  t.is(story.task('small').state, 'starting')
  story.withVms(vmOf('vm-2', { resources: sized(64, 64_000) }))
  story.tick()
  t.is(story.task('huge').placement?.vm, vmOf('vm-2').id)
})

test('a job that must wait for room does not block smaller ones behind it', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).submit(specOf('first', 6))
  story.tick()
  story.submit(specOf('large', 8, { acceptedAt: 1 }), specOf('small', 2, { acceptedAt: 2 }))
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['small'])
  t.deepEqual(story.cell.explain(story.task('large').spec.id, story.now), { kind: 'waiting-for-room' })
})

test('teams share by their dominant resource against their quotas', t => {
  const desk = brand<TeamName>('desk')
  const story = new PolicyStory().withVms(vmOf('vm-1', { resources: sized(30, 90_000) }))
    .withQuotas({ buyers: sized(20, 90_000), desk: sized(10, 90_000) })
  for (let index = 0; index < 40; index++) story.submit(specOf(`b${index}`, 1), specOf(`d${index}`, 1, { team: desk }))
  const assigned = idsOf(story.tick(), 'assigned')
  t.is(assigned.filter(id => id.startsWith('b')).length, 20)
  t.is(assigned.filter(id => id.startsWith('d')).length, 10)
  t.is(assigned.slice(0, 15).filter(id => id.startsWith('b')).length, 10, 'two for one from the start')
})

test('no team passes its quota, and explain says so', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).withQuotas({ buyers: sized(3, 8_000) }).submit(specOf('a', 2), specOf('b', 2))
  story.tick()
  t.is(story.task('b').state, 'queued')
  t.like(story.cell.explain(story.task('b').spec.id, story.now), { kind: 'over-quota', team: 'buyers' })
})

test('replicas of a service stand on different racks', t => {
  const rack = brand<RackId>('r2')
  const story = new PolicyStory().withVms(vmOf('vm-1'), vmOf('vm-2'), vmOf('vm-3', { rack }))
    .withService(100, [replicaOf('s.0', 2), replicaOf('s.1', 2), replicaOf('s.2', 2)])
  story.tick()
  const vms = ['s.0', 's.1', 's.2'].map(id => story.task(id).placement?.vm)
  t.is(new Set(vms).size, 3)
  t.true([vms[0], vms[1]].includes(vmOf('vm-3').id), 'the second goes to the rack that has none')
})

test('work without accelerators leaves VMs that have them alone while it can', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1', { resources: sized(8, 8_000, 4) }), vmOf('vm-2')).submit(specOf('plain', 2), specOf('train', 2, { resources: sized(2, 100, 2) }))
  story.tick()
  t.is(story.task('plain').placement?.vm, vmOf('vm-2').id)
  t.is(story.task('train').placement?.vm, vmOf('vm-1').id)
})

test('a worker that fails distinct tasks is left out, then tried with one task at a time', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1'))
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    story.submit(specOf(id, 8, { command: `work${index}` }))
    story.tick()
    story.report(id, 'failed')
    story.tell({ kind: 'cancelled', task: story.task(id).spec.id })
  }
  story.submit(specOf('d', 1), specOf('e', 1))
  t.deepEqual(idsOf(story.tick(), 'assigned'), [])
  t.deepEqual(story.cell.explain(story.task('d').spec.id, story.now), { kind: 'waiting-for-workers' })
  for (let second = 0; second < 29; second++) t.deepEqual(idsOf(story.tick(1_000), 'assigned'), [])
  t.is(idsOf(story.tick(1_500), 'assigned').length, 1, 'one probe')
  t.deepEqual(idsOf(story.tick(1_500), 'assigned'), [])
  story.report('d', 'finished')
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['e'])
})

test('a kind of job that fails on every worker quarantines none of them, and ends', t => {
  const story = new PolicyStory().withVms(...[1, 2, 3, 4, 5, 6].map(index => vmOf(`vm-${index}`))).submit(specOf('bad', 1))
  const failedOn = new Set<string>()
  for (let attempt = 0; attempt < 5; attempt++) {
    story.tick()
    failedOn.add(String(story.task('bad').placement?.vm))
    story.report('bad', 'failed')
  }
  t.is(story.task('bad').state, 'failed')
  t.is(failedOn.size, 5, 'each attempt on another VM')
  story.submit(specOf('good', 1, { command: 'other' }))
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['good'])
})

test('relief throttles, waits until samples show the effect, and never acts twice on stale ones', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1'), vmOf('vm-2')).withService(100, [replicaOf('s.0', 2)])
  story.tick()
  const vm = String(story.task('s.0').placement?.vm)
  const other = vm === 'vm-1' ? 'vm-2' : 'vm-1'
  story.submit(specOf('filler', 8)).tick()
  t.is(story.task('filler').placement?.vm, vmOf(other).id)
  story.submit(specOf('noisy', 4)).tick()
  t.is(story.task('noisy').placement?.vm, vmOf(vm).id)
  for (let index = 0; index < 4; index++) story.sample(vm, 300 + index, 300)
  const first = story.tick(10_000)
  t.deepEqual(actionsOf(first), ['throttle'])
  t.like(story.cell.explain(story.task('noisy').spec.id, story.now), { kind: 'throttled-for', service: 'stockline' })
  story.report('filler', 'finished')
  for (let index = 0; index < 8; index++) story.sample(vm, 4_000 + index, 300)
  t.deepEqual(actionsOf(story.tick()), [], 'measured before the throttle')
  story.tick(10_000)
  for (let index = 0; index < 8; index++) story.sample(vm, story.now - 100 + index, 300)
  t.deepEqual(idsOf(story.tick(), 'stopping'), ['noisy'], 'measured after it')
})

test('with nowhere better to go, a throttled task is not evicted; with room elsewhere it is', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).withService(100, [replicaOf('s.0', 2)])
  story.tick()
  story.submit(specOf('noisy', 4)).tick()
  const suffer = (): void => {
    story.tick(10_000)
    for (let index = 1; index <= 8; index++) story.sample('vm-1', story.now - 100 + index, 300)
  }
  for (let round = 0; round < 6; round++) {
    suffer()
    t.deepEqual(idsOf(story.tick(), 'stopping'), [])
  }
  story.withVms(vmOf('vm-2'))
  suffer()
  t.deepEqual(idsOf(story.tick(), 'stopping'), ['noisy'])
  t.like(story.task('noisy').reason, { kind: 'evicted-for-service', service: 'stockline' })
})

test('a new owner counts restored replicas by rack and lifts the throttles of the old one', t => {
  const old = new PolicyStory().withVms(vmOf('vm-1')).withService(100, [replicaOf('s.0', 2)])
  const journal = [...old.tick().transitions, ...old.submit(specOf('noisy', 4)).tick().transitions]
  const specs = [replicaOf('s.0', 2), specOf('noisy', 4)]
  const story = new PolicyStory()
  story.cell.restore([...specs.map(spec => ({ kind: 'accepted' as const, spec })), ...journal], story.now)
  story.withVms(vmOf('vm-1'), vmOf('vm-2'), vmOf('vm-3', { rack: brand<RackId>('r2') }))
  t.deepEqual(actionsOf(story.tick()), ['throttle'])
  t.deepEqual(actionsOf(story.tick()), [], 'once')
  story.withService(100, [replicaOf('s.0', 2), replicaOf('s.1', 2)]).tick()
  t.is(story.task('s.1').placement?.vm, vmOf('vm-3').id)
})

test('a wave of submissions and its cancellation starve neither urgent work nor other teams', t => {
  const desk = brand<TeamName>('desk')
  const story = new PolicyStory().withVms(vmOf('vm-1'))
  for (let index = 0; index < 5_000; index++) story.submit(specOf(`b${index}`, 1 + (index % 3), { acceptedAt: index }))
  story.submit(specOf('d', 1, { team: desk, acceptedAt: 9_000 }), specOf('u', 1, { isUrgent: true, acceptedAt: 9_001 }))
  const first = idsOf(story.tick(), 'assigned')
  t.deepEqual(first.slice(0, 2), ['u', 'd'], 'desk has used nothing, so it goes before the wave')
  for (let index = 0; index < 5_000; index++) story.tell({ kind: 'cancelled', task: story.task(`b${index}`).spec.id })
  story.submit(specOf('late', 1, { acceptedAt: 10_000 }))
  for (const id of first.slice(2)) story.report(id, 'stopped')
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['late'])
  t.is([...story.cell.state.tasks.values()].filter(({ state }) => state === 'cancelled').length, 5_000)
})

test('waiting lowers the rank of a team until it goes before one with a smaller share', t => {
  const desk = brand<TeamName>('desk')
  const story = new PolicyStory().withVms(vmOf('vm-1')).withQuotas({ buyers: sized(16, 8_000), desk: sized(16, 8_000) })
  story.submit(specOf('b0', 4), specOf('d0', 1, { team: desk }), specOf('filler', 3, { team: brand<TeamName>('other') })).tick()
  story.submit(specOf('b1', 3, { acceptedAt: 1 })).tick()
  t.is(story.task('b1').state, 'queued')
  for (let minute = 0; minute < 5; minute++) story.tick(60_000)
  story.submit(specOf('d1', 3, { team: desk, acceptedAt: 2 }))
  story.report('filler', 'finished')
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['b1'], 'buyers have the larger share, but have waited for five minutes')
})

test('the budget bounds the evictions for services of a whole cell', t => {
  const story = new PolicyStory({ throttles: false, evictionsPerMinute: 2 })
    .withVms(...[1, 2, 3, 4].map(index => vmOf(`vm-${index}`))).withService(100, [1, 2, 3, 4].map(index => replicaOf(`s.${index}`, 2)))
  story.tick()
  for (let index = 1; index <= 4; index++) story.submit(specOf(`noisy${index}`, 4, { command: 'noisy' }))
  story.tick()
  story.withVms(vmOf('vm-9'), vmOf('vm-10'))
  story.tick(10_000)
  for (let index = 1; index <= 8; index++) {
    for (let vm = 1; vm <= 4; vm++) story.sample(`vm-${vm}`, story.now - 100 + index, 300)
  }
  t.is(idsOf(story.tick(), 'stopping').length, 2)
})

test('room that is being cleared for urgent work goes to nobody else', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).submit(specOf('a', 4), specOf('b', 4))
  story.tick()
  story.submit(specOf('small', 4), specOf('check', 8, { isUrgent: true, acceptedAt: 9 }))
  t.deepEqual(idsOf(story.tick(), 'stopping').sort(), ['a', 'b'])
  story.report('a', 'stopped')
  t.deepEqual(idsOf(story.tick(), 'assigned'), [], 'half of the room is there')
  story.report('b', 'stopped')
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['check'])
})

test('many jobs of a kind that fails everywhere quarantine no worker', t => {
  const vms = [1, 2, 3, 4].map(index => vmOf(`vm-${index}`))
  const story = new PolicyStory().withVms(...vms)
  for (let wave = 0; wave < 3; wave++) {
    const ids = [0, 1, 2, 3].map(index => `bad${wave}-${index}`)
    story.submit(...ids.map(id => specOf(id, 8, { command: 'bad' }))).tick()
    for (const id of ids) story.report(id, 'failed')
    for (const id of ids) story.tell({ kind: 'cancelled', task: story.task(id).spec.id })
  }
  story.submit(...vms.map(({ id }) => specOf(`good-${id}`, 8, { command: 'good' })))
  t.is(idsOf(story.tick(), 'assigned').length, 4)
})

test('small jobs of an untried kind that fail together on one worker do not quarantine it', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1'), vmOf('vm-2'))
  const ids = ['a', 'b', 'c', 'd']
  story.submit(...ids.map(id => specOf(id, 1, { command: 'bad' }))).tick()
  t.is(new Set(ids.map(id => story.task(id).placement?.vm)).size, 1)
  for (const id of ids) story.report(id, 'failed')
  for (const id of ids) story.tell({ kind: 'cancelled', task: story.task(id).spec.id })
  story.submit(specOf('x', 8, { command: 'good' }), specOf('y', 8, { command: 'good' }))
  t.is(idsOf(story.tick(), 'assigned').length, 2)
})

test('a VM whose worker answers again is used in the next pass', t => {
  const story = new PolicyStory().withVms(vmOf('vm-1')).submit(specOf('a', 8), specOf('b', 8))
  story.tick()
  story.tick()
  story.withVms(vmOf('vm-2'))
  t.deepEqual(idsOf(story.tick(), 'assigned'), ['b'])
})
