import test from 'ava'
import { SeededRandom } from '@auburnpin/common'
import { PROMPT } from '@auburnpin/fakes'
import { Owners } from './support/Owners.ts'

const DATA_CENTRES = ['colombo', 'negombo', 'kalutara']
const TAKE_OVER_MS = 15_000

const startAll = async (owners: Owners, perDataCentre: number): Promise<void> => {
  for (const dataCentre of DATA_CENTRES) {
    for (let index = 1; index <= perDataCentre; index++) owners.start(`${dataCentre}.${index}`)
  }
  await owners.until(30_000, () => owners.isAllOwned)
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
    const owners = new Owners(DATA_CENTRES, 4, seed)
    await startAll(owners, 3)
    t.true(owners.isAllOwned)
    await owners.clock.advance(new SeededRandom(seed).below(5_000))
    const before = owners.owners
    const killed = owners.names.filter((_, index) => index % 2 === 0)
    for (const member of killed) owners.kill(member)
    const orphaned = [...before.values()].filter(member => killed.includes(member)).length
    t.true(orphaned > 0)
    t.true(await owners.until(TAKE_OVER_MS, () => owners.isAllOwned))
    t.is(countMoves(before, owners.owners), orphaned)
  })
}

test('every member is replaced in turn: planned stops hand over without delay and only the necessary cells move', async t => {
  const owners = new Owners(DATA_CENTRES, 2)
  await startAll(owners, 2)
  for (const member of owners.names) {
    const before = owners.owners
    const held = [...before.values()].filter(owner => owner === member).length
    t.true(await owners.stop(member, 5_000), `${member} stopped`)
    t.true(await owners.until(3_000, () => owners.isAllOwned), `the cells of ${member} were taken over`)
    t.is(countMoves(before, owners.owners), held)
    owners.start(member, '2')
    await owners.clock.advance(30_000)
    t.true(owners.isAllOwned)
  }
})

test('a killed process that restarts with the same id regains its cells without waiting for its lease to expire', async t => {
  const owners = new Owners(['colombo'], 2)
  owners.start('colombo.1')
  await owners.until(30_000, () => owners.isAllOwned)
  owners.kill('colombo.1')
  owners.start('colombo.1', '2')
  t.true(await owners.until(5_000, () => owners.isAllOwned))
})

test('members that join take over cells only from the threshold on, and no more than needed', async t => {
  const owners = new Owners(['colombo'], 4)
  owners.start('colombo.1')
  await owners.until(30_000, () => owners.isAllOwned)
  const alone = owners.owners
  owners.start('colombo.2')
  await owners.clock.advance(90_000)
  t.true(owners.isAllOwned)
  t.is(countMoves(alone, owners.owners), 2)
  const pair = owners.owners
  owners.start('colombo.3')
  await owners.clock.advance(60_000)
  t.is(countMoves(pair, owners.owners), 1)
  const three = owners.owners
  owners.start('colombo.4')
  await owners.clock.advance(60_000)
  t.is(countMoves(three, owners.owners), 1)
  const four = owners.owners
  owners.start('colombo.5')
  await owners.clock.advance(60_000)
  t.is(countMoves(four, owners.owners), 0)
})

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`members claim the same cells concurrently over a lossy link: every term has one owner (seed ${seed})`, async t => {
    const owners = new Owners(['colombo'], 3, seed)
    const random = new SeededRandom(seed)
    owners.fates = () => {
      const chance = random.fraction()
      if (chance < 0.1) return { ...PROMPT, loss: 'back' }
      if (chance < 0.15) return { ...PROMPT, loss: 'late', thereMs: 3_000 }
      return { loss: 'none', thereMs: random.below(400), backMs: random.below(400) }
    }
    for (const member of ['colombo.1', 'colombo.2', 'colombo.3']) owners.start(member)
    await owners.clock.advance(40_000)
    owners.kill('colombo.2')
    await owners.clock.advance(40_000)
    owners.fates = () => PROMPT
    t.true(await owners.until(30_000, () => owners.isAllOwned))
    const terms = owners.terms.map(row => `${row.cell} ${row.epoch}`)
    t.is(new Set(terms).size, terms.length)
  })
}

test('recovery of a cell whose journal cannot be read is retried until it succeeds', async t => {
  const owners = new Owners(['colombo'], 1)
  owners.fates = (_from, operation) => operation.startsWith('list journal/') ? { ...PROMPT, loss: 'refused' } : PROMPT
  owners.start('colombo.1')
  await owners.clock.advance(20_000)
  t.false(owners.isAllOwned)
  t.true(owners.terms.length < 8, `${owners.terms.length} claims in 20 s`)
  owners.fates = () => PROMPT
  t.true(await owners.until(35_000, () => owners.isAllOwned))
})

test('a runner is dropped when another member claims its cell, and replaced once the cell is claimed again', async t => {
  const owners = new Owners(['colombo'], 1)
  owners.start('colombo.1')
  await owners.until(30_000, () => owners.isAllOwned)
  const row = owners.memory.read('cells/colombo-0')
  const foreign = { cell: 'colombo-0', epoch: 7, owner: 'colombo.9', incarnation: 'gone' }
  owners.memory.transact({
    id: 'foreign',
    checks: [{ kind: 'version', key: 'cells/colombo-0', version: row?.version ?? 0 }],
    deletes: [],
    puts: [{ key: 'cells/colombo-0', value: { transaction: 'foreign', value: foreign } }]
  })
  t.false(owners.isAllOwned)
  t.true(await owners.until(10_000, () => owners.isAllOwned))
  t.is(owners.terms.at(-1)?.epoch as number, 8)
})
