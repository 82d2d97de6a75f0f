import test from 'ava'
import { StandInRegion } from '@auburnpin/stand-in'
import { countFinishedOnce, countOvercommitted, countStopped, OverlapWatch } from '../src/demo/checkRegion.ts'

const ROOM = { processors: 4, memoryMb: 1_000, accelerators: 0 }

test('the demo\'s counts see a task in two places, a double finish and a stop', async t => {
  const region = new StandInRegion({ dataCentres: ['derby'], workers: 2, workersPerRack: 2, room: ROOM })
  await region.start()
  t.teardown(() => region.stop())
  const overlaps = new OverlapWatch(region)
  const start = { id: 'draft', attempt: 1, leaseSession: 's', epoch: 1, resources: { processors: 3, memoryMb: 100, accelerators: 0 }, command: 'watch' }

  for (const { state } of region.workers.values()) {
    state.lease({ session: 's', epoch: 1, ttlMs: 60_000, isNew: true })
    state.start({ ...start, id: `only-${state.entries.length}` })
  }
  t.is(countOvercommitted(region), 0)
  const [first, second] = [...region.workers.values()]
  first?.state.stop({ ...start, id: 'only-0' })
  second?.state.stop({ ...start, id: 'only-0' })
  t.is(countStopped(region, ['only-0']), 2)

  first?.state.start(start)
  overlaps.look()
  t.is(overlaps.stop(), 0)
  second?.state.start(start)
  overlaps.look()
  t.is(overlaps.stop(), 1)

  for (const worker of [first, second]) {
    const entry = worker?.state.entries.find(candidate => candidate.start.id === 'draft')
    if (entry !== undefined) worker?.state.finish(entry, 'finished', 'done')
    t.is(countFinishedOnce(region, ['draft']), worker === first ? 1 : 0)
  }
})
