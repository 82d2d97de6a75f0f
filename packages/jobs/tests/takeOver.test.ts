import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsWorld } from './support/JobsWorld.ts'

const LONG = { runMs: 4_000, ending: 'done' } as const

/** Starts two processes, four workers and running jobs of two steps. */
const startCluster = async (jobs = 4): Promise<JobsWorld> => {
  const world = new JobsWorld(4, () => LONG)
  world.addNode('n1')
  await world.advance(400)
  const second = world.addNode('n2')
  await world.advance(400)
  for (let index = 0; index < jobs; index++) {
    await world.settle(second.intake.submit(jobOf(`00000000000000a${index}`, [stepOf({ taskCount: 2 }), stepOf({ taskCount: 2, after: [0] })]), 2_000))
  }
  await world.advance(500)
  return world
}

const countDone = (world: JobsWorld): number => world.events.filter(event => event.kind === 'ended' && event.how === 'done').length

test('when the owner is stopped, another process takes its cell over within a second, also during a commit', async t => {
  for (const delayMs of [0, 3, 7, 11]) {
    const world = await startCluster()
    const owner = world.owner
    await world.advance(delayMs)
    await world.settle(world.nodes.get('n2')!.intake.submit(jobOf('00000000000000b1', [stepOf()]), 2_000))
    void owner?.seat.stop()
    await world.advance(1_000)
    t.truthy(world.owner)
    t.not(world.owner?.name, owner?.name)
    await world.advance(12_000)
    t.deepEqual(world.breaches, [])
    t.is(countDone(world), 17)
  }
})

test('when the owner is killed every task still runs once', async t => {
  for (const atMs of [0, 900, 1_700, 3_520, 3_540, 3_560, 3_800]) {
    const world = await startCluster()
    await world.advance(atMs)
    world.owner?.kill()
    await world.advance(18_000)
    t.deepEqual(world.breaches, [], `killed after ${atMs} ms`)
    t.is(countDone(world), 16, `killed after ${atMs} ms`)
  }
})

test('an owner that resumes after a suspension sends no more orders', async t => {
  const world = await startCluster()
  const frozen = world.owner
  frozen?.freeze()
  await world.advance(6_000)
  t.not(world.owner?.name, undefined)
  frozen?.thaw()
  await world.advance(12_000)
  t.deepEqual(world.breaches, [])
  t.is(countDone(world), 16)
  t.false(frozen?.seat.isOwner)
})

test('an owner that alone can not reach the store is replaced, and the workers accept the new owner', async t => {
  const world = await startCluster()
  const isolated = world.owner
  world.rows.moods.set(isolated?.name as string, 'silent')
  await world.advance(5_000)
  const owners = [...world.nodes.values()].filter(node => node.seat.isOwner && node !== isolated)
  t.is(owners.length, 1)
  world.rows.moods.clear()
  await world.advance(12_000)
  t.deepEqual(world.breaches, [])
  t.is(countDone(world), 16)
})

test('after a takeover no task starts while an unreachable worker may still run it', async t => {
  const world = await startCluster()
  const owner = world.owner
  const other = [...world.nodes.values()].find(node => node !== owner)
  world.links.set(`${other?.name}>w1`, 'mute')
  owner?.kill()
  await world.advance(25_000)
  t.deepEqual(world.breaches, [])
  t.is([...new Set(world.events.filter(event => event.kind === 'ended' && event.how === 'done').map(event => event.task))].length, 16)
})

test('after a cold start of all processes the jobs are restored from the store', async t => {
  const world = await startCluster()
  for (const node of [...world.nodes.values()]) node.kill()
  await world.advance(2_000)
  world.addNode('n1', 'n1-2')
  world.addNode('n2', 'n2-2')
  await world.advance(16_000)
  t.deepEqual(world.breaches, [])
  t.is(countDone(world), 16)
})

test('a new owner publishes no queue as empty before it has read the jobs', async t => {
  const world = new JobsWorld(0, () => LONG)
  world.addNode('n1')
  await world.advance(400)
  const second = world.addNode('n2')
  await world.advance(400)
  await world.settle(second.intake.submit(jobOf('00000000000000a1', [stepOf()]), 2_000))
  await world.advance(1_500)
  const owner = world.owner
  const other = [...world.nodes.values()].find(node => node !== owner)
  const published: (number | undefined)[] = []
  owner?.kill()
  // Reading the jobs takes the new owner a long time.
  world.rows.slowRanges = true
  for (let step = 0; step < 60; step++) {
    await world.advance(100)
    published.push(other?.seat.pending.drafts)
  }
  t.true(other?.seat.isOwner)
  t.deepEqual([...new Set(published)], [1])
})

test('an overloaded owner releases its cell to another process, once, and every task runs once', async t => {
  const world = await startCluster()
  const owner = world.owner
  if (owner !== undefined) owner.clock.timerDelayMs = 300
  await world.advance(8_000)
  t.truthy(world.owner)
  t.not(world.owner?.name, owner?.name)
  for (const node of world.nodes.values()) node.clock.timerDelayMs = 300
  await world.advance(16_000)
  t.deepEqual(world.breaches, [])
  t.is(countDone(world), 16)
})

test('after all processes were killed, a VM that is too small for the cell leaves it to a bigger VM', async t => {
  const world = await startCluster()
  t.is(world.owner?.name, 'n1')
  for (const node of [...world.nodes.values()]) node.kill()
  world.addNode('n1', 'n1-2', 0.001)
  world.addNode('n2', 'n2-2')
  await world.advance(4_000)
  t.is(world.owner?.name, 'n2')
  await world.advance(14_000)
  t.deepEqual(world.breaches, [])
  t.is(countDone(world), 16)
})

test('a VM that is too small for the cell claims it if there is no other process', async t => {
  const world = await startCluster()
  for (const node of [...world.nodes.values()]) node.kill()
  world.addNode('n1', 'n1-2', 0.001)
  await world.advance(6_000)
  t.is(world.owner?.name, 'n1')
})
