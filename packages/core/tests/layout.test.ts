import test from 'ava'
import fc from 'fast-check'
import { brand, type ServiceName } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { assignRacks, chooseCell, chooseLeavingRacks, EMPTY_LAYOUT, moveRack, rackKey, type CellWorkers, type Layout, type WorkerEntry } from '../src/index.ts'

const ZONES = ['derby', 'nottingham', 'leicester']

/** Racks of eight workers, one data centre after another. */
const workersInRacks = (count: number): WorkerEntry[] => Array.from({ length: count }, (_, index) => {
  const rack = Math.floor(index / 8)
  return workerEntryOf(`w${index}`, { zone: ZONES[rack % ZONES.length], rack: `r${rack}`, labels: ['a', `r${rack}`] })
})

const sizesOf = (layout: Layout, workers: readonly WorkerEntry[]): number[] =>
  layout.cells.map(({ racks }) => workers.filter(entry => racks.includes(rackKey(entry))).length)

test('a deployment that one owner can carry stays in one cell', t => {
  const layout = assignRacks(EMPTY_LAYOUT, workersInRacks(245), new Set(), 250)
  t.is(layout.cells.length, 1)
  t.is(layout.cells[0]?.racks.length, 31)
})

test('the workers of a large deployment are divided evenly, and each cell has some of every data centre', t => {
  const workers = workersInRacks(2_400)
  const layout = assignRacks(EMPTY_LAYOUT, workers, new Set(), 250)
  t.deepEqual(sizesOf(layout, workers), Array.from({ length: 10 }, () => 240))
  for (const { racks } of layout.cells) t.deepEqual([...new Set(racks.map(rack => rack.split('/')[0]))].sort(), [...ZONES].sort())
})

test('racks stay in their cells whatever workers come and go, and every listed worker belongs to exactly one cell', t => {
  fc.assert(fc.property(fc.array(fc.uniqueArray(fc.nat(59), { minLength: 1, maxLength: 60 }), { minLength: 1, maxLength: 6 }), lists => {
    const all = workersInRacks(480)
    let layout = EMPTY_LAYOUT
    for (const racks of lists) {
      const listed = all.filter(({ rack }) => racks.includes(Number(rack.slice(1))))
      const next = assignRacks(layout, listed, new Set(), 64)
      for (const [index, cell] of layout.cells.entries()) t.deepEqual(next.cells[index]?.racks.slice(0, cell.racks.length), cell.racks)
      for (const entry of listed) t.is(next.cells.filter(cell => cell.racks.includes(rackKey(entry))).length, 1)
      t.is(assignRacks(next, listed, new Set(), 64), next)
      layout = next
    }
  }))
})

test('racks that the owner of the first cell used before there was a layout stay with it', t => {
  const workers = workersInRacks(600)
  const used = new Set(workers.slice(0, 400).map(({ id }) => id))
  const layout = assignRacks(EMPTY_LAYOUT, workers, used, 250)
  t.deepEqual(sizesOf(layout, workers), [400, 104, 96])
})

test('idle racks leave a first cell that is too large, down to its share', t => {
  const racks = Array.from({ length: 48 }, (_, index) => ({ rack: `r${index}`, workers: 8, runs: 0, longRunningRuns: 0 }))
  t.is(chooseLeavingRacks(racks, 384, 2, 250, new Set()).size, 24)
  t.is(chooseLeavingRacks(racks.slice(0, 31), 384, 2, 250, new Set()).size, 0)
})

test('racks with running tasks leave a few at a time, those without long-running tasks first', t => {
  const racks = Array.from({ length: 48 }, (_, index) => ({ rack: `r${index}`, workers: 8, runs: 20, longRunningRuns: index }))
  t.deepEqual([...chooseLeavingRacks(racks, 384, 2, 250, new Set())], ['r0', 'r1'])
  t.deepEqual([...chooseLeavingRacks(racks, 384, 2, 250, new Set(['r0', 'r1']))], ['r0', 'r1'])
})

test('a rack that moves brings the epoch that its workers have seen', t => {
  const layout = assignRacks(EMPTY_LAYOUT, workersInRacks(16), new Set(), 8)
  const [rack = ''] = layout.cells[0]?.racks ?? []
  const moved = moveRack(layout, rack, 1, 7)
  t.false(moved.cells[0]?.racks.includes(rack))
  t.true(moved.cells[1]?.racks.includes(rack))
  t.is(moved.cells[1]?.epochOffsets[rack], 7)
  t.true(moved.version > layout.version)
})

const DESK = brand<ServiceName>('desk')
const offering = (labels: readonly string[] = [], processors = 8_000): CellWorkers =>
  ({ racks: [], epochOffsets: {}, services: { [DESK]: { processors, memoryMb: 100_000, accelerators: 0, labels } } })
const load = (loadPercent: number, isOwned = true, workers = 100): { workers: number, loadPercent: number, isOwned: boolean } => ({ workers, loadPercent, isOwned })

/** Shares of 1,000 jobs that go to each cell. */
const sharesOf = (job: Parameters<typeof chooseCell>[0], cells: readonly CellWorkers[], loads: ReturnType<typeof load>[]): number[] => {
  const counts = cells.map(() => 0)
  for (let index = 0; index < 1_000; index++) {
    const cell = chooseCell(job, cells, loads, index / 1_000)
    counts[cell] = (counts[cell] ?? 0) + 1
  }
  return counts.map(count => count / 1_000)
}

test('while one cell is fuller than the other, it gets fewer of the new jobs, but not none', t => {
  const [full = 0, free = 0] = sharesOf(jobOf('a', [stepOf()]), [offering(), offering()], [load(100), load(25)])
  t.true(full > 0.2 && full < 0.4 && free > 0.6, `${full} ${free}`)
})

test('equal cells get equal shares of the jobs, and larger ones more', t => {
  t.deepEqual(sharesOf(jobOf('a', [stepOf()]), [offering(), offering()], [load(50), load(50)]), [0.5, 0.5])
  t.deepEqual(sharesOf(jobOf('a', [stepOf()]), [offering(), offering()], [load(50, true, 300), load(50, true, 100)]), [0.75, 0.25])
})

test('a job goes to a cell that can run it, that holds its data, and that has an owner', t => {
  const cells = [offering(['a', 'r1']), offering(['b', 'r2'], 16_000)]
  const loads = [load(0), load(300)]
  t.deepEqual(sharesOf(jobOf('a', [stepOf({ requiredLabel: 'b' })]), cells, loads), [0, 1])
  t.deepEqual(sharesOf(jobOf('a', [stepOf({ processors: 12_000 })]), cells, loads), [0, 1])
  t.deepEqual(sharesOf(jobOf('a', [stepOf({ dataRack: 'r2' })]), cells, loads), [0, 1])
  t.deepEqual(sharesOf(jobOf('a', [stepOf()]), cells, [load(0, false), load(300)]), [0, 1])
})

test('a job that no cell can run still gets one, whose owner reports why it waits', t => {
  t.is(chooseCell(jobOf('a', [stepOf({ requiredLabel: 'none' })]), [offering(), offering()], [load(0), load(0)], 0.7), 1)
  t.is(chooseCell(jobOf('a', [stepOf()]), [{ racks: [], services: {}, epochOffsets: {} }], [], 0.7), 0)
})
