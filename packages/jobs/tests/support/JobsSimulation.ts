/**
 * Simulates processes, workers and the store on a virtual clock, and checks every start and end of a run on the workers.
 */
import {
  AuburnpinError, brand, Clock, Err, Ok, SeededRandom, SilentLog, SilentMetrics, VirtualClock,
  type Instant, type Log, type Result, type Timer, type WorkerId
} from '@auburnpin/common'
import type { StartOutcome, TaskName, WorkerEntry, WorkerReport } from '@auburnpin/core'
import { AdmissionControl, CellChooser, CellElections, JobRepository, KnownEvacuations, MonitoredStore, TableFollower, FIRST_CELL, WORKERS_PER_CELL, WorkerCalls, WorkerList, type AdmissionMode, type ReportRequest, type RowKey, type RunName, type StartResponse, type StartRequest, type TableListener, type WorkerAddress, type WorkerListener } from '../../src/index.ts'
import { FakeJobWorker, FakeRows, RunInvariantChecker, type FakeRunBehaviour, type WorkerEvent } from '@auburnpin/fakes'

/** State of the link to a worker. `mute`: calls are lost; `late`: calls time out and are executed 3 s later; `refused`: connections are refused. `broken`: the client throws before the call. `unheard`: calls are executed and time out. `delayed`: calls that `delayOf` names a delay for time out and are executed that much later, or as soon as the worker is up from then on, even if the link has been cut meanwhile; `slow`: they are answered, if that is before the time-out. `waiting`: calls to a worker that is down reach its next incarnation if that is up before the time-out. */
export type LinkState = 'well' | 'mute' | 'late' | 'refused' | 'broken' | 'unheard' | 'delayed' | 'slow' | 'waiting'

/** A call to a worker that a process sends. */
export type SentCall = Readonly<{ kind: 'start' | 'stop' | 'report', node: string, worker: WorkerId }>

const CALL_MS = 1
const CALL_TIMEOUT_MS = 700
const DELAYED_CALL_MS = 3_000
const POLL_INTERVAL_MS = 10

/** Table of the simulated operator; each row's key is an evacuated data centre. */
const EVACUATIONS_TABLE = 'evacuations'

const keysOf = (rows: readonly RowKey[]): readonly string[] => rows.map(({ key }) => key)

const evacuationRows = (evacuations: KnownEvacuations): TableListener =>
  ({ replaceAll: rows => { evacuations.replaceAll(keysOf(rows)) }, update: (changed, deleted) => { evacuations.update(keysOf(changed), keysOf(deleted)) } })

/** One process. Its clock can be stopped, which simulates the suspension of its VM. */
export class Node {
  readonly name: string
  readonly clock: NodeClock
  readonly election: CellElections
  readonly jobs: JobRepository
  readonly admission: AdmissionControl
  readonly processor: SlowProcessor
  readonly evacuations: KnownEvacuations
  readonly #evacuationsFollower: TableFollower
  readonly #simulation: JobsSimulation

  constructor (simulation: JobsSimulation, name: string, life: string, processorShare: number) {
    this.#simulation = simulation
    this.name = name
    this.clock = new NodeClock(simulation.clock)
    this.processor = new SlowProcessor(this.clock)
    const store = new MonitoredStore(simulation.rows.clientFor(name), this.clock, new SilentLog(), new SilentMetrics())
    this.evacuations = new KnownEvacuations(this.clock, () => this.#evacuationsFollower.currentAt)
    this.#evacuationsFollower = new TableFollower(store, this.clock, new SilentLog(), EVACUATIONS_TABLE, [''], evacuationRows(this.evacuations))
    if (simulation.followsEvacuations) this.followEvacuations()
    const cells = new CellChooser(store, this.clock, new SilentLog(), new SeededRandom(name.length), () => this.election.publishedCells)
    const ports = { store, workerList: new FakeWorkerList(simulation, this.clock), calls: new FakeWorkerCalls(simulation, this), clock: this.clock, log: simulation.log, metrics: new SilentMetrics(), finishedJobRetentionMs: 120_000, workersPerCell: simulation.workersPerCell, admission: simulation.admission, remoteFactor: simulation.remoteFactor, maxReservedShare: simulation.maxReservedShare, cells, evacuations: this.evacuations }
    this.election = new CellElections(ports, { name, life, claimDelayMs: 20, processorShare }, new SeededRandom(name.length + name.charCodeAt(name.length - 1)))
    this.jobs = new JobRepository(store, this.clock, new SilentLog(), cells)
    this.admission = new AdmissionControl({ jobs: this.jobs, waitsFor: job => this.election.waitsFor(job), backlogsFor: job => this.election.backlogsFor(job), keptTasksFor: job => this.election.keptTasksFor(job), clock: this.clock, log: simulation.log, metrics: new SilentMetrics() })
    cells.start()
    this.election.start()
  }

  /** Begins to read the evacuations. */
  followEvacuations (): void {
    this.#evacuationsFollower.start()
  }

  /** Kills the process. */
  kill (): void {
    this.clock.stop()
    this.#simulation.nodes.delete(this.name)
  }

  /** Suspends the process; its steady clock stops meanwhile. */
  suspend (): void {
    this.clock.stop()
  }

  resume (): void {
    this.clock.resume()
  }
}

/** Processor of one process. Messages to and from workers are handled one after another, in the order of their arrival. */
export class SlowProcessor {
  readonly #clock: Clock
  #busyUntil = -Infinity
  /** Processor time of one message in milliseconds. */
  messageMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Resolves once a message that arrives now has been handled. */
  async handleMessage (): Promise<void> {
    if (this.messageMs === 0) return
    this.#busyUntil = Math.max(this.#busyUntil, this.#clock.now()) + this.messageMs
    await this.#clock.sleep(this.#busyUntil - this.#clock.now())
  }
}

/** Clock of one process: the steady clock and the timers stop while the process is suspended, the wall clock doesn't. */
export class NodeClock extends Clock {
  readonly #base: VirtualClock
  #isStopped = false
  #stoppedAt = 0
  #suspendedMs = 0
  #dueActions: (() => void)[] = []

  constructor (base: VirtualClock) {
    super()
    this.#base = base
  }

  now (): Instant {
    return brand<Instant>((this.#isStopped ? this.#stoppedAt : this.#base.now()) - this.#suspendedMs)
  }

  wallTime (): number {
    return this.#base.now()
  }

  /** Delay of all timers of the process, in milliseconds; simulates a VM with too little processor time. */
  timerDelayMs = 0

  after (delayMs: number, action: () => void): Timer {
    return this.#base.after(delayMs + this.timerDelayMs, () => {
      if (this.#isStopped) this.#dueActions.push(action)
      else action()
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#stoppedAt = this.#base.now()
  }

  resume (): void {
    this.#isStopped = false
    this.#suspendedMs += this.#base.now() - this.#stoppedAt
    const dueActions = this.#dueActions
    this.#dueActions = []
    for (const action of dueActions) action()
  }
}

/** A steady clock with another rate, for workers. */
class SlowClock extends Clock {
  readonly #base: VirtualClock
  readonly #rate: number

  constructor (base: VirtualClock, rate: number) {
    super()
    this.#base = base
    this.#rate = rate
  }

  now (): Instant {
    return brand<Instant>(this.#base.now() * this.#rate)
  }

  wallTime (): number {
    return this.#base.now()
  }

  after (delayMs: number, action: () => void): Timer {
    return this.#base.after(delayMs / this.#rate, action)
  }
}

/** The whole simulation, with the events of all runs and the violated guarantees. */
export class JobsSimulation {
  readonly clock = new VirtualClock()
  readonly rows = new FakeRows(this.clock)
  readonly workers = new Map<string, FakeJobWorker>()
  readonly nodes = new Map<string, Node>()
  readonly links = new Map<string, LinkState>()
  /** Whether a task may have a second run at the same time. */
  allowsCopies = (_task: TaskName): boolean => false
  readonly #checker = new RunInvariantChecker(task => this.allowsCopies(task))
  /** Workers that the list of workers contains. */
  readonly listed = new Set<string>()
  /** Entries that the list of workers shows instead of the workers' present ones. */
  readonly outdatedEntries = new Map<string, WorkerEntry>()
  workersPerCell = WORKERS_PER_CELL
  /** Whether processes read the evacuations from their start on. */
  followsEvacuations = true
  maxReservedShare: number | undefined
  /** How many times as long tasks take away from their rack; absent: tasks don't wait for a rack. */
  remoteFactor?: number
  /** What owners publish for the admission of jobs. */
  admission: AdmissionMode = 'backlog'
  /** Receives what the processes log of jobs and cells. */
  log: Log = new SilentLog()
  /** Tasks whose orders to start are executed without a response. */
  readonly unansweredStarts = new Set<string>()
  /** Time until a call over a `delayed` or `slow` link is executed, in milliseconds; `undefined` if it is as over a good link. */
  delayOf = (_call: SentCall): number | undefined => DELAYED_CALL_MS
  /** Time until a worker that crashed under a crashing task returns as a new incarnation, in milliseconds. */
  returnAfterMs = 3_000
  /** Whether the connections of a worker that crashes are closed at once, as when its process ends; otherwise a request that it holds ends with its return or a time-out. */
  closesConnections = false
  /** Number of reports that processes have requested of each worker. */
  readonly reportCounts = new Map<string, number>()
  /** Time until a process that asks for the list of workers has it, in milliseconds. */
  listReadMs = 0
  /** Changes the entries that processes read; for deliberate faults that the checks must detect. */
  mutateEntry = (entry: WorkerEntry): WorkerEntry => entry

  /** `workerClockRate` is the rate of the clocks of all workers. */
  constructor (workerCount: number, behaviourOf: (task: TaskName) => FakeRunBehaviour, workerClockRate = 1) {
    const workerClock = workerClockRate === 1 ? this.clock : new SlowClock(this.clock, workerClockRate)
    for (let index = 1; index <= workerCount; index++) {
      const id = `w${index}`
      this.workers.set(id, new FakeJobWorker(id, workerClock, behaviourOf, event => this.#record(event)))
      this.listed.add(id)
    }
  }

  #record (event: WorkerEvent): void {
    this.#checker.record(event)
    if (event.how !== 'crashing') return
    const worker = this.worker(event.worker)
    this.clock.after(this.returnAfterMs, () => { if (worker.hasCrashed) worker.restart() })
  }

  addNode (name: string, life = `${name}-1`, processorShare = 1): Node {
    const node = new Node(this, name, life, processorShare)
    this.nodes.set(name, node)
    return node
  }

  /** Writes the operator's row that evacuates a data centre. */
  evacuate (dataCentre: string): void {
    this.rows.put(EVACUATIONS_TABLE, '', dataCentre, '{}')
  }

  /** Deletes that row. */
  restore (dataCentre: string): void {
    this.rows.apply({ part: '', checks: [], puts: [], deletes: [{ table: EVACUATIONS_TABLE, key: dataCentre }] })
  }

  worker (id: string): FakeJobWorker {
    return this.workers.get(id) as FakeJobWorker
  }

  get owner (): Node | undefined {
    for (const node of this.nodes.values()) if (node.election.ownedCells.includes(FIRST_CELL)) return node
    return undefined
  }

  /** State of the link from a process to a worker: that of the pair if set, else that of the worker. */
  link (node: string, worker: string): LinkState {
    return this.links.get(`${node}>${worker}`) ?? this.links.get(worker) ?? 'well'
  }

  advance (ms: number): Promise<void> {
    return this.clock.advance(ms)
  }

  get events (): readonly WorkerEvent[] {
    return this.#checker.events
  }

  get breaches (): readonly string[] {
    return this.#checker.breaches
  }

  /** Crashes a worker and starts it again; its entry in the list of workers stays as it was. */
  restartUnnoticed (id: string): void {
    const worker = this.worker(id)
    this.outdatedEntries.set(id, worker.entry)
    worker.crash()
    worker.restart()
  }

  startsOf (task: string): number {
    return this.events.filter(event => event.kind === 'started' && event.task === task).length
  }

  /** Advances the virtual clock until a promise is settled, for at most `ms`. */
  async settle<Value> (promise: Promise<Value>, ms = 4_000): Promise<Value> {
    let value: Value | undefined
    let isSettled = false
    void promise.then(result => {
      value = result
      isSettled = true
    })
    for (let waitedMs = 0; waitedMs < ms; waitedMs += POLL_INTERVAL_MS) {
      if (isSettled) break
      await this.advance(POLL_INTERVAL_MS)
    }
    if (value === undefined && !isSettled) throw new Error('The promise did not settle in time')
    return value as Value
  }
}

class FakeWorkerList extends WorkerList {
  readonly #simulation: JobsSimulation
  readonly #clock: Clock
  readonly #listeners = new Set<WorkerListener>()

  // By the clock of the process, as one that was killed learns nothing more.
  constructor (simulation: JobsSimulation, clock: Clock) {
    super()
    this.#simulation = simulation
    this.#clock = clock
  }

  subscribe (listener: WorkerListener): void {
    this.#listeners.add(listener)
    void this.#follow(listener)
  }

  unsubscribe (listener: WorkerListener): void {
    this.#listeners.delete(listener)
  }

  async #follow (listener: WorkerListener): Promise<void> {
    if (this.#simulation.listReadMs > 0) await this.#clock.sleep(this.#simulation.listReadMs)
    let known = new Map<WorkerId, string>()
    listener.replaceAll(this.#entries)
    while (this.#listeners.has(listener)) {
      const entries = this.#entries
      const current = new Map(entries.map(entry => [entry.id, JSON.stringify(entry)]))
      const changed = entries.filter(({ id }) => current.get(id) !== known.get(id))
      const removed = [...known.keys()].filter(id => !current.has(id))
      if (changed.length > 0 || removed.length > 0) listener.update(changed, removed)
      known = current
      await this.#clock.sleep(100)
    }
  }

  get #entries (): readonly WorkerEntry[] {
    return [...this.#simulation.workers.values()].filter(({ id }) => this.#simulation.listed.has(id)).map(({ id, entry }) => this.#simulation.mutateEntry(this.#simulation.outdatedEntries.get(id) ?? entry))
  }
}

class FakeWorkerCalls extends WorkerCalls {
  readonly #simulation: JobsSimulation
  readonly #node: Node

  constructor (simulation: JobsSimulation, node: Node) {
    super()
    this.#simulation = simulation
    this.#node = node
  }

  async start (worker: WorkerAddress, request: StartRequest): Promise<StartResponse> {
    const outcome = await this.#call<StartOutcome>('start', worker, fake => fake.start(request))
    if (this.#simulation.unansweredStarts.has(request.task)) {
      await this.#node.clock.sleep(CALL_TIMEOUT_MS)
      return { outcome: 'unknown' }
    }
    return outcome === undefined ? { outcome: 'unknown' } : outcome === 'refused' ? { outcome: 'unavailable' } : { outcome, clockMs: this.#simulation.worker(worker.id).clockMs }
  }

  async stop (worker: WorkerAddress, run: RunName, epoch: number): Promise<'taken' | 'fenced' | 'failed'> {
    const answer = await this.#call('stop', worker, fake => fake.stop(run, brand(epoch)))
    return answer === undefined || answer === 'refused' ? 'failed' : answer
  }

  async pace (): Promise<'taken' | 'fenced' | 'failed'> {
    await this.#node.clock.sleep(CALL_MS)
    return 'taken'
  }

  async report (worker: WorkerAddress, request: ReportRequest): Promise<Result<WorkerReport, AuburnpinError>> {
    this.#simulation.reportCounts.set(worker.id, (this.#simulation.reportCounts.get(worker.id) ?? 0) + 1)
    const asked = this.#simulation.worker(worker.id)
    const { incarnation } = asked.entry
    const state = this.#simulation.link(this.#node.name, worker.id)
    // A worker holds only a request that has reached it.
    const heldMs = state === 'delayed' || state === 'slow' || (state === 'waiting' && asked.hasCrashed) ? 0 : request.waitMs
    // It takes the request as it arrives, and holds only the response.
    if (heldMs > 0 && ['well', 'unheard', 'waiting'].includes(state) && !asked.hasCrashed) asked.report(request)
    for (let waitedMs = 0; waitedMs < heldMs; waitedMs += POLL_INTERVAL_MS) {
      if (this.#simulation.closesConnections && asked.hasCrashed) return Err(new AuburnpinError('unreachable', 'connection closed', 'Wait.'))
      if (asked.hasEndAfter(request.acknowledgedEnd)) break
      await this.#node.clock.sleep(POLL_INTERVAL_MS)
      // A request that the worker holds ends with the incarnation that received it.
      if (asked.entry.incarnation !== incarnation) return Err(new AuburnpinError('unreachable', 'the connection is lost', 'Wait.'))
    }
    const report = await this.#call('report', worker, fake => fake.report(request), CALL_TIMEOUT_MS + request.waitMs - heldMs)
    if (report === 'fenced') return Err(new AuburnpinError('fenced', 'fenced', 'Nothing.'))
    if (report === undefined || report === 'refused') return Err(new AuburnpinError('unreachable', 'no answer', 'Wait.'))
    return Ok(report)
  }

  async #call<Value> (kind: SentCall['kind'], { id }: { id: WorkerId }, action: (worker: FakeJobWorker) => Value, timeoutMs = CALL_TIMEOUT_MS): Promise<Value | undefined | 'refused'> {
    const worker = this.#simulation.worker(id)
    const state = this.#simulation.link(this.#node.name, id)
    if (state === 'refused') return 'refused'
    if (state === 'broken') throw new Error('an unexpected error of the client')
    const delayMs = state === 'delayed' || state === 'slow' ? this.#simulation.delayOf({ kind, node: this.#node.name, worker: id }) : undefined
    if (delayMs !== undefined && state === 'slow') return await this.#callLate(worker, action, delayMs, timeoutMs)
    if (delayMs !== undefined) {
      this.#simulation.clock.after(delayMs, () => worker.whenUp(() => action(worker)))
      await this.#node.clock.sleep(timeoutMs)
      return undefined
    }
    if (state === 'waiting' && worker.hasCrashed) return await this.#callOnceUp(worker, action, timeoutMs)
    if ((state === 'well' || state === 'delayed' || state === 'slow' || state === 'waiting') && !worker.hasCrashed) {
      await this.#node.processor.handleMessage()
      await this.#node.clock.sleep(CALL_MS)
      if (worker.hasCrashed) {
        if (state === 'waiting') return await this.#callOnceUp(worker, action, timeoutMs)
        await this.#node.clock.sleep(CALL_TIMEOUT_MS)
        return undefined
      }
      const value = action(worker)
      await this.#node.clock.sleep(CALL_MS)
      await this.#node.processor.handleMessage()
      return value
    }
    if (state === 'unheard' && !worker.hasCrashed) action(worker)
    if (state === 'late') this.#simulation.clock.after(DELAYED_CALL_MS, () => { if (!worker.hasCrashed) action(worker) })
    await this.#node.clock.sleep(CALL_TIMEOUT_MS)
    return undefined
  }

  // The answer arrives unless the link has been cut meanwhile.
  async #callOnceUp<Value> (worker: FakeJobWorker, action: (worker: FakeJobWorker) => Value, timeoutMs: number): Promise<Value | undefined> {
    const { clock } = this.#simulation
    const givesUpAt = clock.now() + timeoutMs
    const answers: Value[] = []
    worker.whenUp(() => {
      if (clock.now() >= givesUpAt) return
      const value = action(worker)
      const state = this.#simulation.link(this.#node.name, worker.id)
      if (state === 'well' || state === 'waiting') answers.push(value)
    })
    return await this.#firstOf(answers, timeoutMs)
  }

  async #callLate<Value> (worker: FakeJobWorker, action: (worker: FakeJobWorker) => Value, delayMs: number, timeoutMs: number): Promise<Value | undefined> {
    const answers: Value[] = []
    this.#simulation.clock.after(delayMs, () => worker.whenUp(() => answers.push(action(worker))))
    return await this.#firstOf(answers, timeoutMs)
  }

  async #firstOf<Value> (answers: readonly Value[], timeoutMs: number): Promise<Value | undefined> {
    for (let waitedMs = 0; waitedMs < timeoutMs && answers.length === 0; waitedMs += POLL_INTERVAL_MS) await this.#node.clock.sleep(POLL_INTERVAL_MS)
    return answers[0]
  }
}
