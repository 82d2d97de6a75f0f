import test from 'ava'
import { StandInRegion } from '@auburnpin/stand-in'
import { countFinishedOnce, countOvercommittedVms, countStoppedAttempts, OverlapDetector } from '../src/demo/checkRegion.ts'

const VM_CAPACITY = { processors: 4, memoryMb: 1_000, accelerators: 0 }

test('the demo\'s checks detect a task that runs on two workers, a task that finishes twice and stopped attempts', async t => {
  const region = new StandInRegion({ dataCentres: ['derby'], workers: 2, workersPerRack: 2, room: VM_CAPACITY })
  await region.start()
  t.teardown(() => region.stop())
  const overlapDetector = new OverlapDetector(region)
  const start = { id: 'draft', attempt: 1, leaseSession: 's', epoch: 1, resources: { processors: 3, memoryMb: 100, accelerators: 0 }, command: 'watch' }

  for (const { state } of region.workers.values()) {
    state.lease({ session: 's', epoch: 1, ttlMs: 60_000, isNew: true })
    state.start({ ...start, id: `only-${state.entries.length}` })
  }
  t.is(countOvercommittedVms(region), 0)
  const [first, second] = [...region.workers.values()]
  first?.state.stop({ ...start, id: 'only-0' })
  second?.state.stop({ ...start, id: 'only-0' })
  t.is(countStoppedAttempts(region, ['only-0']), 2)

  first?.state.start(start)
  overlapDetector.sample()
  t.is(overlapDetector.stop(), 0)
  second?.state.start(start)
  overlapDetector.sample()
  t.is(overlapDetector.stop(), 1)

  for (const worker of [first, second]) {
    const entry = worker?.state.entries.find(candidate => candidate.start.id === 'draft')
    if (entry !== undefined) worker?.state.finish(entry, 'finished', 'done')
    t.is(countFinishedOnce(region, ['draft']), worker === first ? 1 : 0)
  }
})
