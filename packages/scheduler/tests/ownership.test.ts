import test from 'ava'
import { SeededRandom } from '@auburnpin/common'
import { IMMEDIATE } from '@auburnpin/fakes'
import { SchedulerCluster } from './support/SchedulerCluster.ts'

const DATA_CENTRES = ['colombo', 'negombo', 'kalutara']
const TAKEOVER_TIMEOUT_MS = 15_000

const startAll = async (cluster: SchedulerCluster, perDataCentre: number): Promise<void> => {
  for (const dataCentre of DATA_CENTRES) {
    for (let index = 1; index <= perDataCentre; index++) cluster.start(`${dataCentre}.${index}`)
  }
  await cluster.until(30_000, () => cluster.isAllOwned)
}

const countMoves = (before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): number => {
  let moves = 0
  for (const [cell, owner] of after) {
    if (before.get(cell) !== owner) moves++
  }
  return moves
}

for (const seed of [1, 2, 3]) {
  test(`after half of the members are killed at once, their cells are taken over within 15 s and no other cell moves (seed ${seed})`, async t => {
    const cluster = new SchedulerCluster(DATA_CENTRES, 4, seed)
    await startAll(cluster, 3)
    t.true(cluster.isAllOwned)
    await cluster.clock.advance(new SeededRandom(seed).below(5_000))
    const before = cluster.owners
    const killed = cluster.names.filter((_, index) => index % 2 === 0)
    for (const member of killed) cluster.kill(member)
    const orphaned = [...before.values()].filter(member => killed.includes(member)).length
    t.true(orphaned > 0)
    t.true(await cluster.until(TAKEOVER_TIMEOUT_MS, () => cluster.isAllOwned))
    t.is(countMoves(before, cluster.owners), orphaned)
  })
}

test('every member is replaced in turn: planned stops hand over without delay and only the necessary cells move', async t => {
  const cluster = new SchedulerCluster(DATA_CENTRES, 2)
  await startAll(cluster, 2)
  for (const member of cluster.names) {
    const before = cluster.owners
    const held = [...before.values()].filter(owner => owner === member).length
    t.true(await cluster.stop(member, 5_000), `${member} stopped`)
    t.true(await cluster.until(3_000, () => cluster.isAllOwned), `the cells of ${member} were taken over`)
    t.is(countMoves(before, cluster.owners), held)
    cluster.start(member, '2')
    await cluster.clock.advance(30_000)
    t.true(cluster.isAllOwned)
  }
})

test('a killed process that restarts with the same id regains its cells without waiting for its lease to expire', async t => {
  const cluster = new SchedulerCluster(['colombo'], 2)
  cluster.start('colombo.1')
  await cluster.until(30_000, () => cluster.isAllOwned)
  cluster.kill('colombo.1')
  cluster.start('colombo.1', '2')
  t.true(await cluster.until(5_000, () => cluster.isAllOwned))
})

test('members that join take over cells only from the threshold on, and no more than needed', async t => {
  const cluster = new SchedulerCluster(['colombo'], 4)
  cluster.start('colombo.1')
  await cluster.until(30_000, () => cluster.isAllOwned)
  const alone = cluster.owners
  cluster.start('colombo.2')
  await cluster.clock.advance(90_000)
  t.true(cluster.isAllOwned)
  t.is(countMoves(alone, cluster.owners), 2)
  const pair = cluster.owners
  cluster.start('colombo.3')
  await cluster.clock.advance(60_000)
  t.is(countMoves(pair, cluster.owners), 1)
  const three = cluster.owners
  cluster.start('colombo.4')
  await cluster.clock.advance(60_000)
  t.is(countMoves(three, cluster.owners), 1)
  const four = cluster.owners
  cluster.start('colombo.5')
  await cluster.clock.advance(60_000)
  t.is(countMoves(four, cluster.owners), 0)
})

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`members claim the same cells concurrently over a lossy link: every term has one owner (seed ${seed})`, async t => {
    const cluster = new SchedulerCluster(['colombo'], 3, seed)
    const random = new SeededRandom(seed)
    cluster.deliveryOf = () => {
      const chance = random.fraction()
      if (chance < 0.1) return { ...IMMEDIATE, loss: 'back' }
      if (chance < 0.15) return { ...IMMEDIATE, loss: 'late', requestDelayMs: 3_000 }
      return { loss: 'none', requestDelayMs: random.below(400), responseDelayMs: random.below(400) }
    }
    for (const member of ['colombo.1', 'colombo.2', 'colombo.3']) cluster.start(member)
    await cluster.clock.advance(40_000)
    cluster.kill('colombo.2')
    await cluster.clock.advance(40_000)
    cluster.deliveryOf = () => IMMEDIATE
    t.true(await cluster.until(30_000, () => cluster.isAllOwned))
    const terms = cluster.terms.map(row => `${row.cell} ${row.epoch}`)
    t.is(new Set(terms).size, terms.length)
  })
}

test('recovery of a cell whose journal cannot be read is retried until it succeeds', async t => {
  const cluster = new SchedulerCluster(['colombo'], 1)
  cluster.deliveryOf = (_from, operation) => operation.startsWith('list journal/') ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  cluster.start('colombo.1')
  await cluster.clock.advance(20_000)
  t.false(cluster.isAllOwned)
  t.true(cluster.terms.length < 8, `${cluster.terms.length} claims in 20 s`)
  cluster.deliveryOf = () => IMMEDIATE
  t.true(await cluster.until(35_000, () => cluster.isAllOwned))
})

test('a runner is dropped when another member claims its cell, and replaced once the cell is claimed again', async t => {
  const cluster = new SchedulerCluster(['colombo'], 1)
  cluster.start('colombo.1')
  await cluster.until(30_000, () => cluster.isAllOwned)
  const row = cluster.memory.read('cells/colombo-0')
  const foreign = { cell: 'colombo-0', epoch: 7, owner: 'colombo.9', incarnation: 'gone' }
  cluster.memory.transact({
    id: 'foreign',
    checks: [{ kind: 'version', key: 'cells/colombo-0', version: row?.version ?? 0 }],
    deletes: [],
    puts: [{ key: 'cells/colombo-0', value: { transaction: 'foreign', value: foreign } }]
  })
  t.false(cluster.isAllOwned)
  t.true(await cluster.until(10_000, () => cluster.isAllOwned))
  t.is(cluster.terms.at(-1)?.epoch as number, 8)
})
