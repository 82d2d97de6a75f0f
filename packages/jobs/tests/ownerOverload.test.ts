import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const SECOND_MS = 1_000
const TASKS_PER_JOB = 10
const LOAD_SECONDS = 12
/** An owner that spends this on each message, in milliseconds, starts some 70 tasks a second; the workers could run 500. */
const MESSAGE_MS = 6
const STARTS_PER_SECOND = 70

/** Submits tasks at a multiple of what the owner can start and returns the simulation after the load. */
const playLoad = async (multiple: number): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(50, () => ({ runMs: 800, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  node.processor.messageMs = MESSAGE_MS
  const step = stepOf({ taskCount: TASKS_PER_JOB, processors: 1_000, estimateMs: 800 })
  const jobs = multiple * STARTS_PER_SECOND * LOAD_SECONDS / TASKS_PER_JOB
  for (let job = 0; job < jobs; job++) {
    void node.jobs.submit(jobOf(job.toString(16).padStart(16, '0'), [step], { acceptedAt: simulation.clock.wallTime() }), 2_000)
    await simulation.advance(LOAD_SECONDS * SECOND_MS / jobs)
  }
  return simulation
}

const endsOf = (simulation: JobsSimulation, how: string): number => simulation.events.filter(event => event.how === how).length

test('an owner with three times the load that it can carry still completes most of what it could, and loses no running work', async t => {
  const completed: number[] = []
  for (const multiple of [0.5, 1, 2, 3]) {
    const simulation = await playLoad(multiple)
    completed.push(endsOf(simulation, 'done'))
    t.is(endsOf(simulation, 'lapsed'), 0, `load ${multiple}`)
    t.deepEqual(simulation.breaches, [])
  }
  const best = Math.max(...completed)
  t.log(completed.join(' '))
  t.true(completed.every((count, index) => index === 0 || count >= 0.8 * best), completed.join(' '))
})
