import test from 'ava'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf, type FakeRunBehaviour, type WorkerEvent } from '@auburnpin/fakes'
import { JobsSimulation, type Node } from './support/JobsSimulation.ts'

const LATE = '00000000000000a1'
const TASK = `${LATE}.0.0.0`
const OTHER_TASK = `${LATE}.0.0.1`
const LEARNT_MS = 500
const STRAGGLER: FakeRunBehaviour = { runMs: 9_000, ending: 'done' }
const ORDINARY: FakeRunBehaviour = { runMs: LEARNT_MS, ending: 'done' }

/** Six workers, learnt durations of 500 ms, and one task whose first two runs behave as given. */
class LateRun {
  readonly simulation: JobsSimulation
  readonly #node: Node

  constructor (first: FakeRunBehaviour, second: FakeRunBehaviour, learntMs = LEARNT_MS) {
    this.simulation = new JobsSimulation(6, task => task === OTHER_TASK || task.startsWith('0000000000000002') ? STRAGGLER : task !== TASK ? { runMs: learntMs, ending: 'done' } : [first, second][this.starts.length] ?? ORDINARY)
    this.simulation.allowsCopies = () => true
    this.#node = this.simulation.addNode('n1')
  }

  /** Learns, submits the job and waits until its task has two runs. */
  async start (taskCount = 1): Promise<this> {
    const step = stepOf({ image: 'a', isSpeculative: true })
    await this.simulation.advance(1_000)
    await this.simulation.settle(this.#node.jobs.submit(jobOf('0000000000000001', [{ ...step, taskCount: 24 }]), 2_000))
    await this.simulation.advance(4_000)
    // Other work, so that the budget allows copies of two tasks.
    await this.simulation.settle(this.#node.jobs.submit(jobOf('0000000000000002', [stepOf({ taskCount: 24, image: 'b' })]), 2_000))
    await this.simulation.settle(this.#node.jobs.submit(jobOf(LATE, [{ ...step, taskCount }], { acceptedAt: this.simulation.clock.wallTime() }), 2_000))
    for (let waitedMs = 0; this.starts.length < 2 && waitedMs < 4_000; waitedMs += 10) await this.simulation.advance(10)
    return this
  }

  get starts (): readonly WorkerEvent[] {
    return this.simulation.events.filter(({ kind, task }) => kind === 'started' && task === TASK)
  }

  get ends (): readonly WorkerEvent[] {
    return this.simulation.events.filter(({ kind, task }) => kind === 'ended' && task === TASK)
  }

  get endings (): readonly string[] {
    return this.ends.map(({ how }) => how)
  }

  worker (run: 0 | 1): string {
    return this.starts[run]?.worker ?? ''
  }

  lose (run: 0 | 1): void {
    const id = this.worker(run)
    this.simulation.worker(id).crash()
    this.simulation.listed.delete(id)
  }

  async phase (): Promise<string | undefined> {
    const node = this.simulation.owner ?? this.#node
    const status = await this.simulation.settle(node.jobs.phaseOf(brand<JobId>(LATE)))
    return status.ok ? status.val : undefined
  }
}

test('a copy that ends first completes its job, and the late run is stopped', async t => {
  for (const taskCount of [1, 2]) {
    const late = await new LateRun(STRAGGLER, ORDINARY).start(taskCount)
    await late.simulation.advance(LEARNT_MS + 500)
    t.deepEqual(late.endings, ['done', 'stopped'])
    t.is(late.ends[0]?.worker, late.starts[1]?.worker)
    await late.simulation.advance(15_000)
    t.is(late.starts.length, 2)
    t.deepEqual(late.simulation.breaches, [])
  }
})

test('when the worker of the late run is lost, the copy completes the job and the task does not start again', async t => {
  const late = await new LateRun(STRAGGLER, { runMs: 900, ending: 'done' }).start()
  late.lose(0)
  await late.simulation.advance(25_000)
  t.deepEqual(late.endings, ['crashed', 'done'])
  t.deepEqual(late.simulation.breaches, [])
})

test('when the worker of the copy is lost, the late run goes on and its task does not wait', async t => {
  const late = await new LateRun(STRAGGLER, STRAGGLER).start()
  late.lose(1)
  await late.simulation.advance(25_000)
  t.true(late.endings.includes('done'))
  t.true(late.starts.length <= 3)
  t.deepEqual(late.simulation.breaches, [])
})

test('when the owner is killed while both run, the next one keeps both, and the first end counts', async t => {
  const late = await new LateRun(STRAGGLER, { runMs: 5_000, ending: 'done' }).start()
  late.simulation.addNode('n2')
  late.simulation.nodes.get('n1')?.kill()
  await late.simulation.advance(4_500)
  t.deepEqual(late.endings, [])
  await late.simulation.advance(15_000)
  t.deepEqual(late.endings, ['done', 'stopped'])
  t.is(late.starts.length, 2)
  t.deepEqual(late.simulation.breaches, [])
})

test('when the stop of the late run gets no response, its job is completed and nothing starts again', async t => {
  for (const link of ['mute', 'unheard', 'late', 'refused'] as const) {
    const late = await new LateRun(STRAGGLER, ORDINARY).start()
    late.simulation.links.set(late.worker(0), link)
    await late.simulation.advance(LEARNT_MS + 500)
    t.is(late.endings[0], 'done', link)
    t.is(await late.phase(), 'completed', link)
    await late.simulation.advance(15_000)
    t.is(late.endings.length, 2, link)
    t.is(late.starts.length, 2, link)
    t.deepEqual(late.simulation.breaches, [], link)
  }
})

test('when the late run cannot be stopped, its task gets no other run while the rest of its step goes on', async t => {
  for (const link of ['mute', 'late', 'refused'] as const) {
    const late = await new LateRun(STRAGGLER, ORDINARY).start(2)
    await late.simulation.advance(LEARNT_MS - 50)
    late.simulation.links.set(late.worker(0), link)
    await late.simulation.advance(15_000)
    t.is(late.starts.length, 2, link)
    t.is(await late.phase(), 'completed', link)
    t.deepEqual(late.simulation.breaches, [], link)
  }
})

test('when both runs end at the same time, the job is completed once', async t => {
  for (const offsetMs of [-3, -2, -1, 0, 1, 2, 3]) {
    const probe = await new LateRun(STRAGGLER, ORDINARY).start()
    const delayMs = (probe.starts[1]?.at ?? 0) - (probe.starts[0]?.at ?? 0)
    const late = await new LateRun(STRAGGLER, { runMs: STRAGGLER.runMs - delayMs + offsetMs, ending: 'done' }).start()
    await late.simulation.advance(15_000)
    t.is(late.endings.length, 2)
    t.true(late.endings.includes('done'))
    t.is(late.starts.length, 2)
    t.is(await late.phase(), 'completed')
    t.deepEqual(late.simulation.breaches, [])
  }
})

test('when the response to the order of the copy is lost, the task has no third run', async t => {
  const late = new LateRun(STRAGGLER, { runMs: 4_000, ending: 'done' })
  const { simulation } = late
  const loseResponses = async (): Promise<void> => {
    while (late.starts.length < 1) await simulation.clock.sleep(1)
    await simulation.clock.sleep(20)
    simulation.unansweredStarts.add(TASK)
  }
  void loseResponses()
  await late.start()
  await simulation.advance(20_000)
  t.is(late.starts.length, 2)
  t.deepEqual(late.endings, ['done', 'stopped'])
  t.deepEqual(simulation.breaches, [])
})

test('when the worker of a run stops responding, a copy starts elsewhere before the lease is over', async t => {
  const late = new LateRun({ runMs: 2_000, ending: 'done' }, ORDINARY, 2_000)
  const { simulation } = late
  simulation.closesConnections = true
  let lostAt = 0
  const lose = async (): Promise<void> => {
    while (late.starts.length < 1) await simulation.clock.sleep(1)
    // A report has shown that the run has survived its start, so the task is not suspected of the loss.
    await simulation.clock.sleep(1_700)
    late.lose(0)
    lostAt = simulation.clock.now()
  }
  void lose()
  await late.start()
  t.is(late.starts.length, 2)
  t.true((late.starts[1]?.at ?? Infinity) - lostAt < 500)
  await simulation.advance(15_000)
  t.deepEqual(late.endings, ['crashed', 'done'])
  t.deepEqual(simulation.breaches, [])
})

test('a copy that fails counts towards the attempts of its job, and the late run goes on', async t => {
  const failing: FakeRunBehaviour = { runMs: 100, ending: 'failed' }
  const late = await new LateRun({ runMs: 4_000, ending: 'done' }, failing).start()
  await late.simulation.advance(200)
  t.deepEqual(late.endings, ['failed'])
  await late.simulation.advance(10_000)
  t.true(late.endings.includes('done'))
  t.true(late.starts.length <= 3)
  t.deepEqual(late.simulation.breaches, [])
})
