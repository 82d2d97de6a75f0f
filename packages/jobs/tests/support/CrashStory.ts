/**
 * A story from a seed: jobs come, some with tasks that crash their workers, while processes, workers and the store fail.
 */
import { SeededRandom } from '@auburnpin/common'
import { stepOf, type FakeJobWorker, type FakeRunBehaviour } from '@auburnpin/fakes'
import { CrashingCluster, CRASHING_RUN } from './CrashingCluster.ts'
import type { LinkState } from './JobsSimulation.ts'

const WORKERS = 9
const RACKS = 3
const PROCESSES = 4
const MIN_WORKERS = 5
const SUBMIT_MS = 25_000
const LONGEST_FAULT_MS = 9_000
/** Time after the last fault until crashing tasks must have been given up and all others must be done. */
const CALM_MS = 60_000

const LASTING_RUN: FakeRunBehaviour = { runMs: 1e9, ending: 'done', startupMs: 500 }

/** `faults only`: no task crashes a worker, and faults come faster. */
export type CrashStoryKind = 'crashing tasks' | 'faults only'

export class CrashStory {
  readonly #random: SeededRandom
  readonly #cluster = new CrashingCluster(WORKERS)
  readonly #crashingShare: number
  readonly #maxFaultGapMs: number
  readonly #linkFaults: readonly LinkState[]

  constructor (seed: number, kind: CrashStoryKind = 'crashing tasks') {
    this.#random = new SeededRandom(seed)
    const crashingShare = this.#between(0, 0.3)
    this.#crashingShare = kind === 'crashing tasks' ? crashingShare : 0
    this.#maxFaultGapMs = kind === 'crashing tasks' ? 4_000 : 900
    this.#linkFaults = kind === 'crashing tasks' ? ['mute', 'late', 'refused'] : ['mute', 'late', 'refused', 'unheard']
    const { simulation } = this.#cluster
    simulation.closesConnections = seed % 2 === 0
    if (this.#chance(0.3)) simulation.workersPerCell = 4
    simulation.returnAfterMs = this.#pick([0, 300, 1_000, 3_000, 6_000])
    for (const [index, worker] of this.#workers.entries()) worker.rack = `r${index % RACKS}`
  }

  /** Plays the story to its end, and returns the broken rules. */
  async play (): Promise<readonly string[]> {
    const cluster = this.#cluster
    const { simulation } = cluster
    await cluster.start(PROCESSES)
    const endsAt = simulation.clock.now() + SUBMIT_MS
    this.#keepDoing(endsAt, 300, 1_500, () => this.#submit())
    this.#keepDoing(endsAt, 500, this.#maxFaultGapMs, () => this.#disturb())
    await simulation.advance(SUBMIT_MS + LONGEST_FAULT_MS + CALM_MS)
    return [...await cluster.findBreaches(), ...await cluster.findHarmlessUndone()]
  }

  get #workers (): readonly FakeJobWorker[] {
    return [...this.#cluster.simulation.workers.values()]
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

  #keepDoing (endsAt: number, minGapMs: number, maxGapMs: number, act: () => void): void {
    const { clock } = this.#cluster.simulation
    clock.after(this.#between(minGapMs, maxGapMs), () => {
      if (clock.now() >= endsAt) return
      act()
      this.#keepDoing(endsAt, minGapMs, maxGapMs, act)
    })
  }

  #submit (): void {
    if (this.#chance(this.#crashingShare)) this.#submitCrashing()
    else this.#submitHarmless()
  }

  #submitHarmless (): void {
    const run: FakeRunBehaviour = { runMs: Math.round(this.#between(300, 4_000)), ending: 'done' }
    const step = stepOf({ taskCount: this.#pick([1, 4, 8]), processors: this.#pick([500, 1_000, 3_000]), estimateMs: run.runMs })
    if (this.#chance(0.1)) this.#cluster.submit([{ ...step, isLasting: true, taskCount: 2 }], () => LASTING_RUN)
    else if (this.#chance(0.2)) this.#cluster.submit([step, { ...step, after: [0] }], () => run)
    else this.#cluster.submit([step], () => run)
  }

  #submitCrashing (): void {
    const cluster = this.#cluster
    const run: FakeRunBehaviour = { ...CRASHING_RUN, crashAfterMs: this.#pick([0, 10, 10, 100, 300, 450]) }
    const step = stepOf({ processors: this.#pick([500, 1_000, 3_000]), isLasting: this.#chance(0.2) })
    const kind = this.#pick(['single', 'single', 'several', 'unanswered', 'repeating'] as const)
    if (kind === 'several') {
      const crashingCount = this.#pick([1, 2, 4])
      cluster.submit([{ ...step, taskCount: 6 }], ({ index }) => index < crashingCount ? run : step.isLasting ? LASTING_RUN : { runMs: 1_000, ending: 'done' }, { isCrashing: true })
      return
    }
    const repeats = kind === 'repeating' ? { occurrences: 4, firstRunAt: cluster.simulation.clock.wallTime(), intervalMs: this.#pick([1_000, 5_000]) } : {}
    const { id } = cluster.submit([step], () => run, { isCrashing: true, ...repeats })
    if (kind === 'unanswered') cluster.simulation.unansweredStarts.add(`${id}.0.0.0`)
  }

  #disturb (): void {
    this.#pick([
      () => this.#cluster.killOwner(this.#between(100, 3_000)), () => this.#cluster.killOwner(this.#between(100, 3_000)), () => this.#cluster.suspendOwner(this.#between(300, 6_000)),
      () => this.#disturbStore(), () => this.#disturbStore(), () => this.#cutOffWorker(), () => this.#cutOffWorker(), () => this.#drainWorker(), () => this.#crashWorkers()
    ])()
  }

  #disturbStore (): void {
    const { rows, owner, clock } = this.#cluster.simulation
    const process = this.#chance(0.5) ? 'all' : owner?.name ?? 'all'
    rows.faultModes.set(process, this.#pick(['refusing', 'silent', 'lost', 'late'] as const))
    clock.after(this.#between(200, 5_000), () => rows.faultModes.delete(process))
  }

  #cutOffWorker (): void {
    const worker = this.#pickWorker()
    if (worker === undefined) return
    const { links, clock } = this.#cluster.simulation
    links.set(worker.id, this.#pick(this.#linkFaults))
    clock.after(this.#between(200, LONGEST_FAULT_MS), () => links.delete(worker.id))
  }

  #drainWorker (): void {
    const worker = this.#pickWorker()
    if (worker !== undefined) this.#cluster.drainWorker(worker, this.#between(200, 4_000), this.#between(200, 4_000))
  }

  // One worker or a rack.
  #crashWorkers (): void {
    const worker = this.#pickWorker()
    if (worker === undefined) return
    const isRack = this.#chance(0.3)
    this.#cluster.crashWorkers(this.#workers.filter(other => other === worker || (isRack && other.rack === worker.rack)), this.#between(200, 4_000))
  }

  #pickWorker (): FakeJobWorker | undefined {
    const { listed } = this.#cluster.simulation
    const up = this.#workers.filter(({ id, hasCrashed, isDraining }) => !hasCrashed && !isDraining && listed.has(id))
    return up.length <= MIN_WORKERS ? undefined : this.#pick(up)
  }
}
