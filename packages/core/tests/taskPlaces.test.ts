/** A task that isn't done always waits, has a run, or is held back for a time that ends. */
import test from 'ava'
import fc from 'fast-check'
import { CELL_EVENT_KINDS, FaultyCell, ORDER_FATES, type CellEvent } from './support/FaultyCell.ts'

const ENDINGS = ['done', 'failed', 'stopped', 'lapsed'] as const

// Other cases are drawn by hand, see CONTRIBUTING.md.
const seed = Number(process.env.SEED ?? 73)
const numRuns = Number(process.env.CASES ?? 400)

const quiet: Omit<CellEvent, 'kind'> = { worker: 0, afterMs: 0, fates: [], ending: 'done', isStored: true }

// Guards against a task held back for an order that an end had settled, which only an order could release (incident 025).
for (const ending of ['lapsed', 'failed', 'stopped'] as const) {
  test(`a task whose order got no answer starts again once its worker is reached again and lists its run as ${ending}`, t => {
    const cell = new FaultyCell()
    cell.apply({ ...quiet, kind: 'pass', afterMs: 100, fates: Array.from({ length: 5 }, () => 'answer lost' as const) })
    for (const worker of [0, 1, 2]) cell.apply({ ...quiet, kind: 'cut', worker })
    for (const worker of [0, 1, 2, 0, 1, 2]) cell.apply({ ...quiet, kind: 'end', worker, ending })
    for (let passed = 0; passed < 5_500; passed += 500) {
      for (const worker of [0, 1, 2]) cell.apply({ ...quiet, kind: 'report', worker })
      cell.apply({ ...quiet, kind: 'pass', afterMs: 500 })
    }
    cell.recover(3_000)
    t.deepEqual(cell.lostTasks, [])
    t.deepEqual(cell.idleTasks.filter(task => task.endsWith('.0.0.0')), [])
  })
}

test('whatever order starts, answers, reports, ends, leases, rebirths and stops come in, each task has a place that leads on', t => {
  const event = fc.record<CellEvent>({
    kind: fc.constantFrom(...CELL_EVENT_KINDS),
    worker: fc.nat(2),
    afterMs: fc.constantFrom(0, 50, 300, 700, 1_500, 4_000),
    fates: fc.array(fc.constantFrom(...ORDER_FATES), { maxLength: 4 }),
    ending: fc.constantFrom(...ENDINGS),
    isStored: fc.boolean()
  })
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), events => {
    const cell = new FaultyCell()
    for (const next of events) {
      cell.apply(next)
      if (cell.lostTasks.length > 0) throw new Error(`Nothing would start ${cell.lostTasks.join(' ')}`)
    }
    cell.recover(40_000)
    if (cell.idleTasks.length > 0) throw new Error(`Not started again: ${cell.idleTasks.join(' ')}`)
  }), { seed, numRuns })
  t.pass()
})
