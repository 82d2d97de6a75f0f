import test from 'ava'
import { brand, SeededRandom, type Attempt } from '@auburnpin/common'
import { parseTaskName, type JobStep, type StartOutcome, type TaskName } from '@auburnpin/core'
import { FakeJobWorker, findStartsOverCapacity, jobOf, stepOf, type WorkerEvent } from '@auburnpin/fakes'
import { JobsSimulation, type Node } from './support/JobsSimulation.ts'

const FIRST = '00000000000000a1'
const SECOND = '00000000000000a2'
/** A process reads the list of workers every 100 ms; an order takes a millisecond. */
const KNOWN_AFTER_MS = 150
const FIRST_STORY = Number(process.env.FIRST_STORY ?? 1)
const STORIES = Number(process.env.STORIES ?? 6)

/** A simulation whose workers know what each task needs. */
class CapacityStory {
  readonly simulation: JobsSimulation
  readonly #steps = new Map<string, readonly JobStep[]>()
  #node: Node | undefined

  constructor (workerCount: number, runMs: (task: TaskName) => number, { isGuarded = false } = {}) {
    this.simulation = new JobsSimulation(workerCount, task => ({ runMs: runMs(task), ending: this.#shapeOf(task).isLasting ? 'failed' : 'done' }))
    for (const { capacity } of this.simulation.workers.values()) {
      capacity.isGuarded = isGuarded
      capacity.needsOf = task => this.#shapeOf(task)
    }
  }

  #shapeOf (task: TaskName): JobStep {
    const name = parseTaskName(task)
    return this.#steps.get(name?.job ?? '')?.[name?.step ?? 0] ?? stepOf()
  }

  async start (): Promise<void> {
    this.#node = this.simulation.addNode('n1')
    await this.simulation.advance(500)
  }

  async submit (id: string, steps: readonly JobStep[]): Promise<void> {
    this.#steps.set(id, steps)
    const [node] = this.simulation.nodes.values()
    await this.simulation.settle((node ?? this.#node)!.jobs.submit(jobOf(id, steps, { acceptedAt: this.simulation.clock.wallTime() }), 2_000))
  }

  startsOf (id: string): number {
    return this.simulation.events.filter(({ kind, task }) => kind === 'started' && task.startsWith(`${id}.`)).length
  }

  get startsOverCapacity (): readonly WorkerEvent[] {
    return findStartsOverCapacity(this.simulation.events, this.simulation.workers.values(), KNOWN_AFTER_MS)
  }
}

test('the check of starts over capacity finds one on a worker that has shrunk, and allows one while nobody can know', async t => {
  const { clock } = new JobsSimulation(0, () => ({ runMs: 1_000, ending: 'done' }))
  const events: WorkerEvent[] = []
  const worker = new FakeJobWorker('w1', clock, () => ({ runMs: 1e9, ending: 'done' }), event => events.push(event))
  worker.capacity.needsOf = () => ({ processors: 3_000, memoryMb: 0, accelerators: 0 })
  const start = (task: string): StartOutcome => worker.start({ task: task as TaskName, attempt: brand<Attempt>(1), spec: '', checkpoint: '', leaseEndMs: 9_000, epoch: brand(1) })
  const found = (knownAfterMs: number): readonly string[] => findStartsOverCapacity(events, [worker], knownAfterMs).map(({ task }) => task)
  start('a.0.0.0')
  start('a.0.0.1')
  await clock.advance(100)
  worker.capacity.change({ processors: 7_000 })
  await clock.advance(100)
  t.deepEqual(found(0), [])
  start('a.0.0.2')
  t.deepEqual(found(0), ['a.0.0.2'])
  // The capacity at first would not have held it either.
  t.deepEqual(found(500), ['a.0.0.2'])
  await clock.advance(100)
  worker.capacity.change({ processors: 12_000 })
  await clock.advance(100)
  worker.capacity.change({ processors: 2_000 })
  await clock.advance(100)
  start('a.0.0.3')
  t.deepEqual(found(50), ['a.0.0.2', 'a.0.0.3'])
  t.deepEqual(found(150), ['a.0.0.2'])
  worker.stop({ task: 'a.0.0.0' as TaskName, attempt: brand<Attempt>(1) }, brand(1))
  worker.capacity.isGuarded = true
  t.is(start('a.0.0.4'), 'no-room')
})

test('the check finds an owner that never learns of a shrunk capacity', async t => {
  const story = new CapacityStory(2, () => 300)
  const { simulation } = story
  simulation.mutateEntry = entry => ({ ...entry, processors: 8_000 })
  await story.start()
  simulation.worker('w1').capacity.change({ processors: 2_000 })
  await simulation.advance(1_000)
  await story.submit(FIRST, [stepOf({ processors: 1_000, taskCount: 12 })])
  await simulation.advance(2_000)
  t.true(story.startsOverCapacity.length > 0)
})

for (const isGuarded of [false, true]) {
  const kind = isGuarded ? 'a worker that guards its capacity' : 'a worker that does not guard its capacity'

  test(`${kind} keeps what runs when it shrinks, gets nothing that does not fit, and is used again when it grows`, async t => {
    const story = new CapacityStory(1, task => task.startsWith(FIRST) ? 6_000 : 500, { isGuarded })
    const { simulation } = story
    await story.start()
    await story.submit(FIRST, [stepOf({ processors: 6_000 })])
    await simulation.advance(500)
    simulation.worker('w1').capacity.change({ processors: 4_000 })
    await simulation.advance(200)
    await story.submit(SECOND, [stepOf({ processors: 1_000, taskCount: 2 })])
    await simulation.advance(3_000)
    t.is(story.startsOf(SECOND), 0)
    simulation.worker('w1').capacity.change({ processors: 8_000 })
    await simulation.advance(1_500)
    t.is(story.startsOf(SECOND), 2)
    await simulation.advance(3_000)
    t.is(story.startsOf(FIRST), 1)
    t.deepEqual(story.startsOverCapacity, [])
    t.deepEqual(simulation.breaches, [])
  })

  test(`${kind} that shrinks while the work of several workers waits for it gets what fits and no more`, async t => {
    const story = new CapacityStory(3, () => 300, { isGuarded })
    const { simulation } = story
    await story.start()
    for (let index = 0; index < 30; index++) await story.submit(`00000000000000${index.toString(16).padStart(2, '0')}`, [stepOf({ processors: 1_500, taskCount: 8 })])
    for (const processors of [2_000, 0, 5_000, 1_000, 8_000]) {
      simulation.worker('w1').capacity.change({ processors })
      await simulation.advance(1_000)
    }
    await simulation.advance(15_000)
    t.is(simulation.events.filter(({ kind: event, how }) => event === 'ended' && how === 'done').length, 240)
    t.deepEqual(story.startsOverCapacity, [])
  })
}

test('a long-running task whose only worker has shrunk comes back there soon after it has grown', async t => {
  const story = new CapacityStory(2, () => 1_000_000)
  const { simulation } = story
  await story.start()
  await story.submit(FIRST, [stepOf({ processors: 6_000, taskCount: 2, isLasting: true })])
  await simulation.advance(500)
  simulation.worker('w1').capacity.change({ processors: 4_000 })
  await simulation.advance(200)
  simulation.worker('w1').failRuns()
  await simulation.advance(5_000)
  t.deepEqual(simulation.worker('w1').running, [])
  simulation.worker('w1').capacity.change({ processors: 6_000 })
  await simulation.advance(500)
  t.is(simulation.worker('w1').running.length, 1)
  t.deepEqual(story.startsOverCapacity, [])
})

test('a new owner goes by the capacity that workers have now, not by the one that an earlier owner knew', async t => {
  const story = new CapacityStory(2, task => task.startsWith(FIRST) ? 20_000 : 500)
  const { simulation } = story
  await story.start()
  simulation.addNode('n2')
  await story.submit(FIRST, [stepOf({ processors: 5_000, taskCount: 2 })])
  await simulation.advance(500)
  simulation.nodes.get('n1')?.kill()
  for (const { capacity } of simulation.workers.values()) capacity.change({ processors: 4_000, memoryMb: 50 })
  await story.submit(SECOND, [stepOf({ processors: 1_000, taskCount: 4 })])
  await simulation.advance(8_000)
  t.is(story.startsOf(SECOND), 0)
  for (const { capacity } of simulation.workers.values()) capacity.change({ processors: 7_000, memoryMb: 32_000 })
  await simulation.advance(2_000)
  t.is(story.startsOf(SECOND), 4)
  t.deepEqual(story.startsOverCapacity, [])
  t.deepEqual(simulation.breaches, [])
})

test('in random stories of workers that shrink and grow beside crashes and lost owners, no start brings one over its capacity', async t => {
  for (let seed = FIRST_STORY; seed < FIRST_STORY + STORIES; seed++) {
    const random = new SeededRandom(seed)
    const between = (from: number, to: number): number => Math.floor(from + (to - from) * random.fraction())
    const story = new CapacityStory(4, () => between(200, 2_500))
    const { simulation } = story
    let batchTasks = 0
    await story.start()
    for (let round = 0; round < 24; round++) {
      const worker = simulation.worker(`w${between(1, 5)}`)
      worker.capacity.change({ processors: between(0, 9) * 1_000, memoryMb: between(1, 5) * 400 })
      if (round % 6 === 2) {
        worker.crash()
        await simulation.advance(between(100, 900))
        worker.restart()
      }
      if (round % 8 === 5) {
        simulation.owner?.kill()
        simulation.addNode(`n${round}`)
      }
      const isLasting = round % 7 === 3
      // Little enough that at the end all batch tasks fit beside it.
      const size = isLasting ? { processors: between(1, 3) * 1_000, taskCount: between(1, 4) } : { processors: between(1, 7) * 1_000, taskCount: between(1, 6) }
      const step = stepOf({ ...size, memoryMb: between(0, 3) * 200, isLasting })
      if (!isLasting) batchTasks += step.taskCount
      await story.submit(`${isLasting ? 'c' : 'b'}${String(seed).padStart(8, '0')}${String(round).padStart(7, '0')}`, [step])
      await simulation.advance(between(100, 1_500))
    }
    for (const { capacity } of simulation.workers.values()) capacity.change({ processors: 16_000, memoryMb: 32_000 })
    await simulation.advance(40_000)
    const done = simulation.events.filter(({ kind, how, task }) => kind === 'ended' && how === 'done' && task.startsWith('b'))
    t.is(new Set(done.map(({ task }) => task)).size, batchTasks, `seed ${seed}`)
    t.deepEqual(story.startsOverCapacity, [], `seed ${seed}`)
    t.deepEqual(simulation.breaches, [], `seed ${seed}`)
  }
})
