/**
 * A story from a seed: jobs come faster than they fit, in turns of faults and of calm, and every run is recorded.
 */
import { SeededRandom, type JobId } from '@auburnpin/common'
import { parseTaskName, type Job, type TaskName, type TaskNameParts } from '@auburnpin/core'
import { jobOf, stepOf, type FakeRunBehaviour } from '@auburnpin/fakes'
import type { ContactChange, Disruption, StoryRecord } from './findTasksKeptAway.ts'
import { JobsSimulation, type LinkState, type Node } from './JobsSimulation.ts'

const WORKERS = 9
const PROCESSES = 4
const MIN_WORKERS = 5
const MIN_PROCESSES = 2
const WORKER_PROCESSORS = 8_000
const SETTLE_MS = 4_500
const TURNS = 3
const MAX_FAULTS_PER_TURN = 7
const MIN_CALM_MS = 9_000
const MAX_CALM_MS = 14_000
const SUBMIT_WITHIN_MS = 2_000
const ENDLESS_MS = 1e9

const SHORT_RUN: FakeRunBehaviour = { runMs: 500, ending: 'done' }

/** Gaps between two faults in milliseconds. */
const GAPS_MS: readonly number[] = [0, 20, 300, 1_000, 2_400]

/** `rebirths`: with the faults of `any`, and workers that are reborn in series or unnoticed, racks without power, and orders that come late across a rebirth. */
export type StoryKind = 'any' | 'rebirths'

export class LongRunningStory {
  readonly #seed: number
  readonly #kind: StoryKind
  readonly #random: SeededRandom
  readonly #simulation: JobsSimulation
  readonly #jobs = new Map<JobId, Job>()
  readonly #behaviours = new Map<JobId, () => FakeRunBehaviour>()
  readonly #cancelledAt = new Map<JobId, number>()
  readonly #disruptions: Disruption[] = []
  readonly #contactChanges: ContactChange[] = []
  readonly #outOfTouch = new Set<string>()
  readonly #failing = new Set<string>()
  readonly #suspended = new Set<Node>()
  /** Workers that never come back. */
  readonly #lost = new Set<string>()
  /** Starts the processes that are away. */
  readonly #returning: (() => void)[] = []
  /** Work submitted per unit of capacity. */
  readonly #loadFactor: number
  #disturbedUntil = 0
  #lives = 0
  #isOver = false

  constructor (seed: number, kind: StoryKind = 'any') {
    this.#seed = seed
    this.#kind = kind
    this.#random = new SeededRandom(seed)
    this.#loadFactor = this.#between(0.5, 2)
    this.#simulation = new JobsSimulation(WORKERS, task => this.#behaviourOf(task))
    this.#simulation.closesConnections = kind === 'rebirths'
    if (this.#chance(0.5)) this.#simulation.workersPerCell = 4
    if (this.#chance(0.5)) for (const [index, worker] of [...this.#simulation.workers.values()].entries()) worker.rack = `r${index % 4}`
  }

  /** Plays the story to its end. */
  async play (): Promise<StoryRecord> {
    const simulation = this.#simulation
    for (let index = 1; index <= PROCESSES; index++) simulation.addNode(`n${index}`)
    await simulation.advance(SETTLE_MS)
    this.#submitLongRunning()
    this.#submitLongRunning()
    this.#keepSubmitting(() => this.#submitBatch())
    this.#keepSubmitting(() => this.#submitLongRunning())
    await simulation.advance(this.#between(1_000, 4_000))
    for (let turn = 0; turn < TURNS; turn++) {
      await this.#disturb()
      await simulation.advance(this.#between(MIN_CALM_MS, MAX_CALM_MS))
    }
    this.#isOver = true
    return {
      seed: this.#seed,
      workersPerCell: simulation.workersPerCell,
      jobs: this.#jobs,
      cancelledAt: this.#cancelledAt,
      workers: [...simulation.workers.values()].map(({ entry }) => entry),
      disruptions: this.#disruptions,
      contactChanges: this.#contactChanges,
      events: simulation.events,
      breaches: simulation.breaches,
      endedAt: simulation.clock.now()
    }
  }

  // Calm begins once all faults are over. Processes that are gone come back only before the next faults.
  async #disturb (): Promise<void> {
    for (const restart of this.#returning.splice(0)) restart()
    const count = 1 + Math.floor(this.#random.fraction() * MAX_FAULTS_PER_TURN)
    for (let fault = 0; fault < count; fault++) {
      this.#pick([
        ...this.#kind === 'any' ? [] : this.#rebirths,
        () => this.#loseWorker(), () => this.#cutOffWorker(), () => this.#cutOffWorker(), () => this.#restartWorker(), () => this.#failOnWorker(), () => this.#drainWorker(),
        () => this.#endProcess('stopped'), () => this.#endProcess('killed'), () => this.#endProcess('killed'), () => this.#suspendProcess(), () => this.#disturbStore()
      ])()
      await this.#simulation.advance(this.#pick(GAPS_MS) * (0.5 + this.#random.fraction()))
    }
    await this.#simulation.advance(Math.max(0, this.#disturbedUntil - this.#now))
  }

  get #rebirths (): readonly (() => void)[] {
    return [() => this.#restartInSeries(), () => this.#cutPowerOfRack(), () => this.#loseRebornWorker(), () => this.#delayOrdersAcrossRebirth()]
  }

  get #now (): number {
    return this.#simulation.clock.now()
  }

  #between (low: number, high: number): number {
    return low + (high - low) * this.#random.fraction()
  }

  #chance (probability: number): boolean {
    return this.#random.fraction() < probability
  }

  #pick<Value> (values: readonly Value[]): Value {
    return values[Math.floor(this.#random.fraction() * values.length)] as Value
  }

  // Notes a fault that is in force for a while, and undoes it.
  #during (what: string, ms: number, undo: () => void = () => {}): void {
    this.#disruptions.push({ what, from: this.#now, to: this.#now + ms })
    this.#disturbedUntil = Math.max(this.#disturbedUntil, this.#now + ms)
    this.#noteContacts()
    this.#simulation.clock.after(ms, () => {
      undo()
      this.#noteContacts()
    })
  }

  // In touch: listed, up, not draining, its link well from every process, and no failure of all that it starts.
  #noteContacts (): void {
    const { workers, listed, links } = this.#simulation
    const cutOff = new Set([...links.keys()].map(key => key.slice(key.indexOf('>') + 1)))
    for (const { id, hasCrashed, isDraining } of workers.values()) {
      const isInTouch = listed.has(id) && !hasCrashed && !isDraining && !cutOff.has(id) && !this.#failing.has(id)
      if (isInTouch !== this.#outOfTouch.has(id)) continue
      if (isInTouch) this.#outOfTouch.delete(id)
      else this.#outOfTouch.add(id)
      this.#contactChanges.push({ worker: id, at: this.#now, isInTouch })
    }
  }

  #pickWorker (): string | undefined {
    const up = [...this.#simulation.workers.values()].filter(({ id, hasCrashed }) => !hasCrashed && this.#simulation.listed.has(id))
    return up.length <= MIN_WORKERS ? undefined : this.#pick(up).id
  }

  // The owner of a cell in most cases.
  #pickProcess (): Node | undefined {
    const up = [...this.#simulation.nodes.values()].filter(node => !this.#suspended.has(node))
    const owners = up.filter(({ election }) => election.isOwner)
    return this.#pick(owners.length > 0 && this.#chance(0.8) ? owners : up)
  }

  #loseWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    this.#during(`worker ${id} vanishes`, 0)
    this.#crashForGood(id, this.#between(0, 2_500))
  }

  #crashForGood (id: string, listedMs: number): void {
    this.#simulation.worker(id).crash()
    this.#lost.add(id)
    this.#noteContacts()
    this.#simulation.clock.after(listedMs, () => {
      this.#simulation.listed.delete(id)
      this.#noteContacts()
    })
  }

  #restart (id: string): void {
    const worker = this.#simulation.worker(id)
    if (worker.hasCrashed && !this.#lost.has(id)) worker.restart()
  }

  // The list shows a rebirth some time after it, as workers write their entries every now and then.
  #keepEntry (id: string, ms: number): void {
    const { outdatedEntries } = this.#simulation
    outdatedEntries.set(id, this.#simulation.worker(id).entry)
    this.#simulation.clock.after(ms, () => outdatedEntries.delete(id))
  }

  #restartInSeries (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const count = this.#pick([2, 3, 5, 8])
    let crashesInMs = 0
    for (let index = 0; index < count; index++) {
      const downMs = this.#between(0, 500)
      const listedMs = this.#chance(0.5) ? 0 : this.#between(0, 2_500)
      this.#simulation.clock.after(crashesInMs, () => {
        if (this.#simulation.worker(id).hasCrashed) return
        this.#keepEntry(id, listedMs)
        this.#simulation.worker(id).crash()
        this.#simulation.clock.after(downMs, () => this.#restart(id))
      })
      crashesInMs += downMs + this.#between(0, 1_200)
    }
    this.#during(`worker ${id} is reborn ${count} times`, crashesInMs + 500)
  }

  #cutPowerOfRack (): void {
    const up = [...this.#simulation.workers.values()].filter(({ id, hasCrashed }) => !hasCrashed && this.#simulation.listed.has(id))
    const { rack } = this.#pick(up)
    const powerless = (rack === '' ? up.slice(0, 3) : up.filter(worker => worker.rack === rack)).slice(0, Math.max(0, up.length - MIN_WORKERS)).map(({ id }) => id)
    const isBack = this.#chance(0.5)
    const listedMs = this.#between(0, 8_000)
    if (isBack) {
      for (const id of powerless) this.#simulation.worker(id).crash()
      this.#during(`workers ${powerless.join(' ')} are without power`, this.#between(500, 9_000), () => { for (const id of powerless) this.#restart(id) })
    } else {
      this.#during(`workers ${powerless.join(' ')} lose power for good`, 0)
      for (const id of powerless) this.#crashForGood(id, listedMs)
    }
  }

  // A rebirth that the list doesn't show, and the end of the worker soon after.
  #loseRebornWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const downMs = this.#pick([0, 0, 50, 400])
    const upMs = this.#between(0, 1_600)
    const listedMs = this.#between(0, 2_500)
    this.#keepEntry(id, downMs + upMs + listedMs)
    this.#simulation.worker(id).crash()
    this.#simulation.clock.after(downMs, () => this.#restart(id))
    this.#during(`worker ${id} is reborn unnoticed after ${Math.round(downMs)}, and vanishes`, downMs + upMs, () => this.#crashForGood(id, listedMs))
  }

  // Orders sent meanwhile are carried out 3 s later, by the incarnation that is there by then.
  #delayOrdersAcrossRebirth (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const lateMs = this.#between(100, 3_000)
    const crashesInMs = this.#between(0, 3_000)
    const downMs = this.#between(0, 500)
    const cutOffMs = this.#chance(0.5) ? 0 : this.#between(0, 6_000)
    const { links, clock } = this.#simulation
    links.set(id, 'late')
    clock.after(lateMs, () => links.set(id, 'mute'))
    clock.after(crashesInMs, () => {
      if (this.#simulation.worker(id).hasCrashed) return
      this.#keepEntry(id, downMs + 1_000)
      this.#simulation.worker(id).crash()
      clock.after(downMs, () => this.#restart(id))
    })
    this.#during(`link ${id} is late for ${Math.round(lateMs)}, then mute; reborn after ${Math.round(crashesInMs)}`, Math.max(lateMs + cutOffMs, crashesInMs + downMs), () => links.delete(id))
  }

  #cutOffWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const state = this.#pick<LinkState>(['mute', 'late', 'refused'])
    const key = this.#chance(0.4) ? `${this.#pickProcess()?.name ?? 'n1'}>${id}` : id
    this.#simulation.links.set(key, state)
    this.#during(`link ${key} is ${state}`, this.#between(200, 9_000), () => this.#simulation.links.delete(key))
  }

  #restartWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const worker = this.#simulation.worker(id)
    worker.crash()
    this.#during(`worker ${id} is reborn`, this.#between(0, 3_000), () => this.#restart(id))
  }

  #failOnWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const worker = this.#simulation.worker(id)
    worker.failNewRuns()
    this.#failing.add(id)
    this.#during(`worker ${id} fails all that it starts`, this.#between(500, 5_000), () => {
      worker.failNewRuns(false)
      this.#failing.delete(id)
    })
  }

  // Planned work, which is no disruption.
  #drainWorker (): void {
    const id = this.#pickWorker()
    if (id === undefined) return
    const worker = this.#simulation.worker(id)
    worker.isDraining = !worker.isDraining
    this.#noteContacts()
  }

  #endProcess (how: 'stopped' | 'killed'): void {
    const node = this.#pickProcess()
    if (node === undefined) return
    const { name } = node
    if (how === 'killed') node.kill()
    else void node.election.stop()
    const isGone = this.#chance(0.4) && this.#simulation.nodes.size > MIN_PROCESSES
    const restart = (): void => {
      if (this.#simulation.nodes.get(name) === node) node.kill()
      if (!this.#simulation.nodes.has(name)) this.#simulation.addNode(name, `${name}-life${++this.#lives}`)
    }
    if (isGone) {
      this.#during(`process ${name} is ${how}`, 0)
      this.#returning.push(restart)
    } else this.#during(`process ${name} is ${how}, back`, this.#between(100, 3_000), restart)
  }

  #suspendProcess (): void {
    const node = this.#pickProcess()
    if (node === undefined) return
    node.suspend()
    this.#suspended.add(node)
    this.#during(`process ${node.name} is suspended`, this.#between(200, 5_000), () => {
      this.#suspended.delete(node)
      if (this.#simulation.nodes.get(node.name) === node) node.resume()
    })
  }

  #disturbStore (): void {
    const { faultModes } = this.#simulation.rows
    const process = this.#chance(0.5) ? 'all' : this.#pickProcess()?.name ?? 'all'
    const mode = this.#pick(['refusing', 'silent', 'lost', 'late'] as const)
    faultModes.set(process, mode)
    this.#during(`store is ${mode} to ${process}`, this.#between(200, 5_000), () => faultModes.delete(process))
  }

  #behaviourOf (task: TaskName): FakeRunBehaviour {
    const { job, step } = parseTaskName(task) as TaskNameParts
    const steps = this.#jobs.get(job)?.steps ?? []
    return step < steps.length - 1 ? SHORT_RUN : this.#behaviours.get(job)?.() ?? SHORT_RUN
  }

  // `submit` returns the time until the next submission in milliseconds.
  #keepSubmitting (submit: () => number): void {
    if (this.#isOver) return
    this.#simulation.clock.after(submit(), () => this.#keepSubmitting(submit))
  }

  #submitBatch (): number {
    const runMs = Math.round(this.#between(600, 3_500))
    const processors = this.#pick([500, 1_000, 2_000, 4_000, 7_000])
    const taskCount = this.#pick([1, 4, 4, 8, 8, 30])
    const isFiller = this.#chance(0.2)
    this.#submit([stepOf({ taskCount, processors, estimateMs: runMs, isFiller })], () => ({ runMs, ending: this.#chance(0.02) ? 'failed' : 'done' }), 0.1)
    return isFiller ? runMs : taskCount * processors * runMs / (WORKERS * WORKER_PROCESSORS * this.#loadFactor)
  }

  #submitLongRunning (): number {
    const failsAfterMs = this.#pick([ENDLESS_MS, 1_000, 4_000, 9_000])
    const step = stepOf({
      isLasting: true,
      taskCount: this.#pick([1, 2, 3, 6]),
      processors: this.#pick([500, 1_000, 3_000, 4_000, 6_000]),
      maxPerWorker: this.#pick([0, 0, 1, 2]),
      latencyTargetMs: this.#chance(0.3) ? 100 : 0,
      image: 'watch'
    })
    const steps = this.#chance(0.2) ? [stepOf({ taskCount: 2 }), { ...step, after: [0] }] : [step]
    this.#submit(steps, () => ({ runMs: failsAfterMs * (0.5 + this.#random.fraction()), ending: failsAfterMs < ENDLESS_MS ? 'failed' : 'done' }), 0.4)
    return this.#between(2_000, 9_000)
  }

  #submit (steps: Job['steps'], behaviour: () => FakeRunBehaviour, cancelProbability: number): void {
    const up = [...this.#simulation.nodes.values()].filter(node => !this.#suspended.has(node))
    if (up.length === 0) return
    const { jobs } = this.#pick(up)
    const job = jobOf((this.#jobs.size + 1).toString(16).padStart(16, '0'), steps, { acceptedAt: this.#simulation.clock.wallTime() })
    const withPriority: Job = { ...job, policy: { ...job.policy, priority: this.#pick([0, 0, 0, 1, 2]) } }
    this.#jobs.set(job.id, withPriority)
    this.#behaviours.set(job.id, behaviour)
    void jobs.submit(withPriority, SUBMIT_WITHIN_MS)
    if (!this.#chance(cancelProbability)) return
    this.#simulation.clock.after(this.#between(500, 25_000), () => {
      if (this.#isOver) return
      const node = [...this.#simulation.nodes.values()].find(one => !this.#suspended.has(one))
      if (node === undefined) return
      this.#cancelledAt.set(job.id, this.#now)
      void node.jobs.cancel(job.id, SUBMIT_WITHIN_MS)
    })
  }
}
