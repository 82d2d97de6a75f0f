/**
 * Processes, workers and the store on a virtual clock, with an observer that checks what workers really do.
 */
import {
  AuburnpinError, brand, Clock, Err, Ok, SeededRandom, SilentLog, SilentMetrics, VirtualClock,
  type Instant, type Result, type Timer, type WorkerId
} from '@auburnpin/common'
import type { StartOutcome, TaskName, WorkerReport } from '@auburnpin/core'
import { CellSeat, JobIntake, WatchedStore, WorkerCalls, WorkerList, type ReportCall, type RunName, type StartAnswer, type StartCall, type WorkerAddress, type WorkerListener } from '../../src/index.ts'
import { FakeJobWorker, FakeRows, RunWatch, type FakeRunCourse, type WorkerEvent } from '@auburnpin/fakes'

/** How calls to a worker fare. `mute`: no answer, nothing done; `late`: no answer, carried out 3 s later. */
export type LinkMood = 'well' | 'mute' | 'late' | 'refused'

const CALL_MS = 1
const CALL_TIMEOUT_MS = 700
const LATE_MS = 3_000
const LOOK_MS = 10

/** One process: its clock can be stopped, as when its VM is suspended. */
export class Node {
  readonly name: string
  readonly clock: NodeClock
  readonly seat: CellSeat
  readonly intake: JobIntake
  readonly #world: JobsWorld

  constructor (world: JobsWorld, name: string, life: string, processorShare: number) {
    this.#world = world
    this.name = name
    this.clock = new NodeClock(world.clock)
    const store = new WatchedStore(world.rows.seenBy(name), this.clock, new SilentLog(), new SilentMetrics())
    const ports = { store, workerList: new FakeList(world), calls: new FakeCalls(world, this), clock: this.clock, log: new SilentLog(), metrics: new SilentMetrics(), stateKeptMs: 120_000 }
    this.seat = new CellSeat(ports, { name, life, claimDelayMs: 20, processorShare }, new SeededRandom(name.length + name.charCodeAt(name.length - 1)))
    this.intake = new JobIntake(store, this.clock, new SilentLog())
    this.seat.start()
  }

  /** The process dies at once. */
  kill (): void {
    this.clock.stop()
    this.#world.nodes.delete(this.name)
  }

  /** The process stands still; its steady clock doesn't count the time. */
  freeze (): void {
    this.clock.stop()
  }

  thaw (): void {
    this.clock.resume()
  }
}

/** A process's own time: stands still while the process does, except for the time of day. */
export class NodeClock extends Clock {
  readonly #base: VirtualClock
  #isStopped = false
  #stoppedAt = 0
  #lostMs = 0
  #held: (() => void)[] = []

  constructor (base: VirtualClock) {
    super()
    this.#base = base
  }

  now (): Instant {
    return brand<Instant>((this.#isStopped ? this.#stoppedAt : this.#base.now()) - this.#lostMs)
  }

  wallTime (): number {
    return this.#base.now()
  }

  /** Milliseconds by which all timers of the process are late, as on a VM with too little processor. */
  lateMs = 0

  after (delayMs: number, action: () => void): Timer {
    return this.#base.after(delayMs + this.lateMs, () => {
      if (this.#isStopped) this.#held.push(action)
      else action()
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#stoppedAt = this.#base.now()
  }

  resume (): void {
    this.#isStopped = false
    this.#lostMs += this.#base.now() - this.#stoppedAt
    const held = this.#held
    this.#held = []
    for (const action of held) action()
  }
}

/** Everything, and what went wrong. */
export class JobsWorld {
  readonly clock = new VirtualClock()
  readonly rows = new FakeRows(this.clock)
  readonly workers = new Map<string, FakeJobWorker>()
  readonly nodes = new Map<string, Node>()
  readonly links = new Map<string, LinkMood>()
  readonly watch = new RunWatch()
  /** Workers whose entries stand in the list. */
  readonly listed = new Set<string>()
  constructor (workerCount: number, course: (task: TaskName) => FakeRunCourse) {
    for (let index = 1; index <= workerCount; index++) {
      const id = `w${index}`
      this.workers.set(id, new FakeJobWorker(id, this.clock, course, event => this.watch.see(event)))
      this.listed.add(id)
    }
  }

  addNode (name: string, life = `${name}-1`, processorShare = 1): Node {
    const node = new Node(this, name, life, processorShare)
    this.nodes.set(name, node)
    return node
  }

  worker (id: string): FakeJobWorker {
    return this.workers.get(id) as FakeJobWorker
  }

  get owner (): Node | undefined {
    for (const node of this.nodes.values()) if (node.seat.isOwner) return node
    return undefined
  }

  /** Link from a process to a worker: its own mood, or the worker's towards all. */
  link (node: string, worker: string): LinkMood {
    return this.links.get(`${node}>${worker}`) ?? this.links.get(worker) ?? 'well'
  }

  advance (ms: number): Promise<void> {
    return this.clock.advance(ms)
  }

  get events (): readonly WorkerEvent[] {
    return this.watch.events
  }

  get breaches (): readonly string[] {
    return this.watch.breaches
  }

  startsOf (task: string): number {
    return this.events.filter(event => event.kind === 'started' && event.task === task).length
  }

  /** Waits for a promise while time goes on. */
  async settle<Value> (promise: Promise<Value>, ms = 4_000): Promise<Value> {
    let value: Value | undefined
    let isSettled = false
    void promise.then(result => {
      value = result
      isSettled = true
    })
    for (let waited = 0; waited < ms; waited += LOOK_MS) {
      if (isSettled) break
      await this.advance(LOOK_MS)
    }
    if (value === undefined && !isSettled) throw new Error('The promise did not settle in time')
    return value as Value
  }
}

class FakeList extends WorkerList {
  readonly #world: JobsWorld
  #listener: WorkerListener | undefined

  constructor (world: JobsWorld) {
    super()
    this.#world = world
  }

  listen (listener: WorkerListener): void {
    this.#listener = listener
    void this.#follow(listener)
  }

  silence (): void {
    this.#listener = undefined
  }

  async #follow (listener: WorkerListener): Promise<void> {
    while (this.#listener === listener) {
      listener.replaceAll([...this.#world.workers.values()].filter(({ id }) => this.#world.listed.has(id)).map(worker => worker.entry))
      await this.#world.clock.sleep(100)
    }
  }
}

class FakeCalls extends WorkerCalls {
  readonly #world: JobsWorld
  readonly #node: Node

  constructor (world: JobsWorld, node: Node) {
    super()
    this.#world = world
    this.#node = node
  }

  async start (worker: WorkerAddress, call: StartCall): Promise<StartAnswer> {
    const outcome = await this.#call<StartOutcome>(worker, fake => fake.start(call))
    return outcome === undefined ? { outcome: 'unknown' } : outcome === 'refused' ? { outcome: 'unavailable' } : { outcome, clockMs: this.#world.worker(worker.id).clockMs }
  }

  async stop (worker: WorkerAddress, run: RunName, epoch: number): Promise<'taken' | 'fenced' | 'failed'> {
    const answer = await this.#call(worker, fake => fake.stop(run, brand(epoch)))
    return answer === undefined || answer === 'refused' ? 'failed' : answer
  }

  async pace (): Promise<'taken' | 'fenced' | 'failed'> {
    await this.#node.clock.sleep(CALL_MS)
    return 'taken'
  }

  async report (worker: WorkerAddress, call: ReportCall): Promise<Result<WorkerReport, AuburnpinError>> {
    for (let waitedMs = 0; waitedMs < call.waitMs; waitedMs += LOOK_MS) {
      if (this.#world.worker(worker.id).hasEndBeyond(call.seenEnd)) break
      await this.#node.clock.sleep(LOOK_MS)
    }
    const report = await this.#call(worker, fake => fake.report(call))
    if (report === 'fenced') return Err(new AuburnpinError('fenced', 'fenced', 'Nothing.'))
    if (report === undefined || report === 'refused') return Err(new AuburnpinError('unreachable', 'no answer', 'Wait.'))
    return Ok(report)
  }

  async #call<Value> ({ id }: { id: WorkerId }, action: (worker: FakeJobWorker) => Value): Promise<Value | undefined | 'refused'> {
    const worker = this.#world.worker(id)
    const mood = this.#world.link(this.#node.name, id)
    if (mood === 'refused') return 'refused'
    if (mood === 'well' && !worker.isDead) {
      await this.#node.clock.sleep(CALL_MS)
      const value = action(worker)
      await this.#node.clock.sleep(CALL_MS)
      return value
    }
    if (mood === 'late') this.#world.clock.after(LATE_MS, () => { if (!worker.isDead) action(worker) })
    await this.#node.clock.sleep(CALL_TIMEOUT_MS)
    return undefined
  }
}
