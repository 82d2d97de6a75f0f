import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const SECOND_MS = 1_000

test('jobs of a burst that must miss their latency objective do not make later jobs miss theirs', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: SECOND_MS, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  const submitWave = async (wave: number, count: number): Promise<string[]> => {
    const ids = Array.from({ length: count }, (_, index) => `${wave}${String(index).padStart(15, '0')}`)
    const step = stepOf({ processors: 1_000, estimateMs: SECOND_MS })
    await simulation.settle(Promise.all(ids.map(id => node.jobs.submit(jobOf(id, [step], { acceptedAt: simulation.clock.wallTime() }), 2_000))))
    return ids
  }
  // The worker runs 8 tasks at once and the objective is 3 s, so that at most 24 of the 48 jobs can meet it.
  const burstAt = simulation.clock.now()
  const burst = await submitWave(1, 48)
  await simulation.advance(1_850)
  const laterAt = simulation.clock.now()
  const later = await submitWave(2, 16)
  await simulation.advance(10 * SECOND_MS)
  const inTime = (ids: readonly string[], since: number): number =>
    ids.filter(id => simulation.events.some(event => event.task === `${id}.0.0.0` && event.how === 'done' && event.at - since <= 3 * SECOND_MS)).length
  t.true(inTime(burst, burstAt) >= 16)
  t.is(inTime(later, laterAt), 16)
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 64)
})

test('when a big job and small ones cannot all meet their latency objective, most of the small ones do', async t => {
  const simulation = new JobsSimulation(1, () => ({ runMs: SECOND_MS, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(500)
  const policy = { ...jobOf('', []).policy, objectiveMs: 2 * SECOND_MS }
  const submit = async (id: string, taskCount: number): Promise<void> => {
    const step = stepOf({ taskCount, processors: 1_000, estimateMs: SECOND_MS })
    await simulation.settle(node.jobs.submit(jobOf(id, [step], { acceptedAt: simulation.clock.wallTime(), policy }), 2_000))
  }
  // The worker runs 8 tasks at once and the objective is 4 s; the big job alone takes 8 s.
  await submit('b000000000000000', 64)
  const submittedAt = simulation.clock.now()
  const small = Array.from({ length: 6 }, (_, index) => `5${String(index).padStart(15, '0')}`)
  for (const id of small) await submit(id, 4)
  await simulation.advance(16 * SECOND_MS)
  const inTime = small.filter(id => simulation.events.filter(event => event.task.startsWith(id) && event.how === 'done' && event.at - submittedAt <= 4 * SECOND_MS).length === 4)
  t.true(inTime.length >= 4, `${inTime.length} of 6`)
  t.is(simulation.events.filter(({ how }) => how === 'done').length, 64 + 6 * 4)
})
