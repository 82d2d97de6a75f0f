import test from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const LOAD_MS = 12_000
const SUBMISSION_GAP_MS = 100
const URGENT_GAP_MS = 300
const FILLERS_PER_JOB = 20
const URGENT_TASKS = 4
const RUN_MS = 800
/** Within which urgent work starts, in milliseconds; see CONTRIBUTING.md. */
const URGENT_START_MS = 2_400

/** Submits a few urgent jobs among more fillers than the owner can start. Returns how long the last task of each urgent job waited for its start, in milliseconds, the shortest wait first. */
const playOverload = async (messageMs: number, fillersPerSecond: number): Promise<number[]> => {
  const simulation = new JobsSimulation(100, () => ({ runMs: RUN_MS, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  node.processor.messageMs = messageMs
  const filler = stepOf({ taskCount: FILLERS_PER_JOB, processors: 1_000, estimateMs: RUN_MS, isFiller: true })
  const urgent = stepOf({ taskCount: URGENT_TASKS, processors: 1_000, estimateMs: RUN_MS })
  const submittedAt = new Map<string, number>()
  let fillers = 0
  for (let elapsedMs = 0; elapsedMs < LOAD_MS; elapsedMs += SUBMISSION_GAP_MS) {
    const acceptedAt = simulation.clock.wallTime()
    if (elapsedMs % URGENT_GAP_MS === 0) {
      const id = `a${elapsedMs.toString(16).padStart(15, '0')}`
      submittedAt.set(id, acceptedAt)
      void node.jobs.submit(jobOf(id, [urgent], { acceptedAt, policy: { ...jobOf(id, []).policy, objectiveFactor: 1, objectiveMs: URGENT_START_MS } }), 2_000)
    }
    for (; fillers < elapsedMs / 1_000 * fillersPerSecond; fillers += FILLERS_PER_JOB) {
      const id = `f${fillers.toString(16).padStart(15, '0')}`
      void node.jobs.submit(jobOf(id, [filler], { acceptedAt, policy: { ...jobOf(id, []).policy, priority: 2 } }), 2_000)
    }
    await simulation.advance(SUBMISSION_GAP_MS)
  }
  await simulation.advance(2 * URGENT_START_MS)
  const waits = [...submittedAt].map(([id, at]) => {
    const starts = simulation.events.filter(({ kind, task }) => kind === 'started' && task.startsWith(id))
    return starts.length < URGENT_TASKS ? Infinity : Math.max(...starts.map(start => start.at)) - at
  })
  return waits.sort((one, other) => one - other)
}

for (const { messageMs, fillersPerSecond } of [{ messageMs: 2, fillersPerSecond: 400 }, { messageMs: 4, fillersPerSecond: 200 }, { messageMs: 6, fillersPerSecond: 150 }, { messageMs: 6, fillersPerSecond: 300 }]) {
  test(`urgent jobs start in time although an owner that takes ${messageMs} ms a message gets ${fillersPerSecond} fillers a second`, async t => {
    const waits = await playOverload(messageMs, fillersPerSecond)
    t.log(`median ${Math.round(waits[Math.floor(waits.length / 2)] ?? 0)} ms, longest ${Math.round(waits.at(-1) ?? 0)} ms`)
    t.true((waits.at(-1) ?? Infinity) <= URGENT_START_MS, waits.map(Math.round).join(' '))
  })
}
