import test from 'ava'
import { brand, type Instant, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { KeptTasksLimit } from '../src/KeptTasksLimit.ts'
import { MAX_KEPT_TASKS } from '../src/index.ts'
import { createAdmission } from './support/createAdmission.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const MINUTE_MS = 60_000
const LARGE = jobOf('00000000000000b1', [stepOf({ taskCount: 10_000 })])
const at = (ms: number): Instant => brand<Instant>(ms)

const termOf = (simulation: JobsSimulation): { keptTasks: number } =>
  JSON.parse(simulation.rows.read('terms', 'cell-0', 'term')?.value ?? '{}') as { keptTasks: number }

// Guards against owners that end for want of memory because of what they have accepted.
test('a process accepts no more tasks than owners can keep, also before it sees published what it has accepted', t => {
  const limit = new KeptTasksLimit()
  let accepted = 0
  while (limit.findRefusal(LARGE, { tasks: 0, ageMs: 0 }, at(0)) === undefined) {
    limit.recordAcceptance(LARGE, at(0))
    accepted++
  }
  t.is(accepted, Math.floor(MAX_KEPT_TASKS / 4 / 10_000))
  const refusal = limit.findRefusal(LARGE, { tasks: 0, ageMs: 0 }, at(1_000))
  t.true(refusal !== undefined && refusal.retryAfterMs > 0)
  t.is(limit.findRefusal(LARGE, { tasks: accepted * 10_000, ageMs: 0 }, at(3_000)), undefined)
  t.not(limit.findRefusal(LARGE, { tasks: MAX_KEPT_TASKS - 1, ageMs: 0 }, at(6_000)), undefined)
  t.is(limit.findRefusal(LARGE, undefined, at(6_000)), undefined)
})

test('a job that can not be kept is refused before it is stored, and accepted once there is room', async t => {
  const simulation = new JobsSimulation(2, () => ({ runMs: 1e9, ending: 'done' }))
  const admission = createAdmission(simulation)
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  const jobs = Array.from({ length: 20 }, (_, index) => jobOf(`000000000000${String(index).padStart(4, '0')}`, [stepOf({ taskCount: 10_000, isLasting: true })], { acceptedAt: simulation.clock.wallTime() }))
  const accepted: JobId[] = []
  for (const job of jobs) {
    const refusal = await simulation.settle(admission(node, job))
    if (refusal === undefined) {
      await simulation.settle(node.jobs.submit(job, 2_000))
      accepted.push(job.id)
    } else t.true(refusal.retryAfterMs > 0)
    await simulation.advance(2_500)
  }
  t.true(accepted.length >= 9 && accepted.length * 10_000 <= MAX_KEPT_TASKS, `${accepted.length} jobs`)
  t.is(termOf(simulation).keptTasks, accepted.length * 10_000)
  for (const { id } of jobs) t.is(simulation.rows.list({ table: 'jobs', part: `jobs-${(id.codePointAt(15) ?? 0) % 16}`, from: id, to: `${id}~` }).rows.length, accepted.includes(id) ? 1 : 0)
})

test('each task of a job with very many due occurrences runs once, also across takeovers, and owners keep a bounded number of them', async t => {
  const occurrences = 900
  const simulation = new JobsSimulation(8, () => ({ runMs: 200, ending: 'done' }))
  let node = simulation.addNode('n1')
  await simulation.advance(20 * MINUTE_MS)
  const job = jobOf('00000000000000a1', [stepOf({ taskCount: 10, processors: 50, memoryMb: 1 })], { occurrences, firstRunAt: simulation.clock.wallTime() - occurrences * 1_000, intervalMs: 1_000 })
  await simulation.settle(node.jobs.submit(job, 2_000))
  let mostKept = 0
  for (let second = 0; second < 60; second++) {
    await simulation.advance(1_000)
    mostKept = Math.max(mostKept, termOf(simulation).keptTasks)
    if (second === 1 || second === 3) {
      node.kill()
      node = simulation.addNode(`n${second + 1}`)
    }
    const phase = await simulation.settle(node.jobs.phaseOf(job.id))
    if (phase.ok && phase.val === 'completed') break
  }
  t.deepEqual(simulation.breaches, [])
  const phase = await simulation.settle(node.jobs.phaseOf(job.id))
  t.is(phase.ok && phase.val, 'completed')
  t.true(mostKept > 0 && mostKept <= 2_000, `${mostKept} tasks`)
  for (let occurrence = 0; occurrence < occurrences; occurrence += 100) t.is(simulation.startsOf(`${job.id}.${occurrence}.0.9`), 1)
})

test('what an owner keeps of steady traffic follows from what is open, however long it lasts', async t => {
  const simulation = new JobsSimulation(8, () => ({ runMs: 500, ending: 'done' }))
  const node = simulation.addNode('n1')
  await simulation.advance(1_000)
  const kept: number[] = []
  for (let second = 0; second < 150; second++) {
    for (let index = 0; index < 4; index++) void node.jobs.submit(jobOf((second * 4 + index).toString(16).padStart(16, '0'), [stepOf({ taskCount: 7, processors: 500 })], { acceptedAt: simulation.clock.wallTime() }), 2_000)
    await simulation.advance(1_000)
    if (second % 30 === 29) kept.push(termOf(simulation).keptTasks)
  }
  // Those of the last 25 s, between two moves of ended jobs, and what is open.
  t.true(Math.max(...kept) <= 4 * 7 * 30, kept.join(' '))
  t.deepEqual(simulation.breaches, [])
})
