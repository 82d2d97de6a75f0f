/**
 * A story from a seed: VMs are reborn in series while calls to them come late, and are cut off soon after; owners end meanwhile.
 */
import { jobOf, stepOf } from '@auburnpin/fakes'
import { Chance } from './Chance.ts'
import { JobsSimulation, type SentCall } from './JobsSimulation.ts'

const WORKERS = 4
const PROCESSES = 3
const SETTLE_MS = 3_000
/** By then an end of a lease on the old clock is beyond the longest lease on a new one. */
const IDLE_MS = 10_000
const DISTURBED_MS = 30_000
/** The latest call and the longest lease, and some more. */
const CALM_MS = 25_000
const SUBMIT_WITHIN_MS = 2_000
const ENDLESS_MS = 1e9
const MIN_DELAY_MS = 2_000
const MAX_DELAY_MS = 12_000
const DELAY_SEEDS = 1_000_000
/** From the first rebirth of a series until no more begin. */
const MAX_REBIRTHS_MS = 4_000

export class RebirthStory {
  readonly #chance: Chance
  /** Delays are drawn apart, so that the choices of a story stay the same if its processes send other calls. */
  readonly #delays: Chance
  readonly #simulation: JobsSimulation
  readonly #runMs = new Map<string, number>()
  readonly #disturbed = new Set<string>()
  /** Share of the calls over a delayed link that come late. */
  readonly #lateShare: number
  #lives = 0

  constructor (seed: number) {
    this.#chance = new Chance(seed)
    this.#delays = new Chance(DELAY_SEEDS + seed)
    this.#lateShare = this.#chance.pick([0.5, 0.8, 1])
    this.#simulation = new JobsSimulation(WORKERS, task => ({ runMs: this.#runMs.get(task.split('.')[0] ?? '') ?? ENDLESS_MS, ending: 'done' }))
    this.#simulation.closesConnections = this.#chance.happens(0.5)
    this.#simulation.delayOf = call => this.#delayOf(call)
    if (this.#chance.happens(0.3)) this.#simulation.workersPerCell = 2
  }

  /** Plays the story to its end, and returns the broken rules. */
  async play (): Promise<readonly string[]> {
    const simulation = this.#simulation
    for (let index = 1; index <= PROCESSES; index++) simulation.addNode(`n${index}`)
    await simulation.advance(SETTLE_MS)
    for (let count = 0; count < 2; count++) this.#submitLongRunning()
    await simulation.advance(IDLE_MS)
    const endsAt = simulation.clock.now() + DISTURBED_MS
    this.#keepDoing(endsAt, 400, 2_500, () => this.#submitBatch())
    this.#keepDoing(endsAt, 2_000, 6_000, () => this.#submitLongRunning())
    this.#keepDoing(endsAt, 1_000, 5_000, () => this.#disturbWorker())
    this.#keepDoing(endsAt, 3_000, 12_000, () => this.#endOwner())
    await simulation.advance(DISTURBED_MS + CALM_MS)
    return simulation.breaches
  }

  #delayOf ({ kind }: SentCall): number | undefined {
    const delayMs = this.#delays.between(MIN_DELAY_MS, MAX_DELAY_MS)
    return this.#delays.happens(kind === 'stop' ? 1 : this.#lateShare) ? delayMs : undefined
  }

  #keepDoing (endsAt: number, minGapMs: number, maxGapMs: number, act: () => void): void {
    const { clock } = this.#simulation
    clock.after(this.#chance.between(minGapMs, maxGapMs), () => {
      if (clock.now() >= endsAt) return
      act()
      this.#keepDoing(endsAt, minGapMs, maxGapMs, act)
    })
  }

  /** One VM, or all of them but one, as when a row of them is restarted. */
  #disturbWorker (): void {
    const undisturbed = [...this.#simulation.workers.keys()].filter(id => !this.#disturbed.has(id))
    if (undisturbed.length <= 1) return
    const first = this.#chance.pick(undisturbed)
    const count = this.#chance.happens(0.2) ? undisturbed.length - 1 : 1
    for (const id of [first, ...undisturbed.filter(other => other !== first)].slice(0, count)) this.#beReborn(id)
  }

  #beReborn (id: string): void {
    const { clock, links } = this.#simulation
    this.#disturbed.add(id)
    const rebirths = this.#chance.pick([1, 1, 2, 3])
    links.set(id, this.#chance.pick(['delayed', 'delayed', 'delayed', 'waiting'] as const))
    let inMs = this.#chance.between(0, 1_500)
    for (let rebirth = 0; rebirth < rebirths; rebirth++) {
      const downMs = this.#chance.between(1, 600)
      const listedMs = this.#chance.happens(0.5) ? 0 : this.#chance.between(0, 1_500)
      clock.after(inMs, () => this.#restart(id, downMs, listedMs))
      inMs += downMs + this.#chance.between(50, 600)
      if (inMs > MAX_REBIRTHS_MS) break
    }
    const isHeardAgainMs = inMs + this.#chance.pick([0, 0, this.#chance.between(0, 800)])
    clock.after(isHeardAgainMs, () => links.delete(id))
    const cutOffMs = isHeardAgainMs + this.#chance.between(300, 4_000)
    clock.after(cutOffMs, () => links.set(id, 'mute'))
    clock.after(cutOffMs + this.#chance.pick([this.#chance.between(200, 4_000), this.#chance.between(8_000, 15_000)]), () => {
      links.delete(id)
      this.#disturbed.delete(id)
    })
  }

  #restart (id: string, downMs: number, listedMs: number): void {
    const { clock, outdatedEntries } = this.#simulation
    const worker = this.#simulation.worker(id)
    if (listedMs > 0) outdatedEntries.set(id, worker.entry)
    worker.crash()
    clock.after(downMs, () => worker.restart())
    clock.after(downMs + listedMs, () => outdatedEntries.delete(id))
  }

  #endOwner (): void {
    const simulation = this.#simulation
    const owners = [...simulation.nodes.values()].filter(({ election }) => election.isOwner)
    if (owners.length === 0) return
    const node = this.#chance.pick(owners)
    if (this.#chance.happens(0.6)) node.kill()
    else void node.election.stop()
    simulation.clock.after(this.#chance.between(200, 4_000), () => {
      if (simulation.nodes.get(node.name) === node) node.kill()
      simulation.addNode(node.name, `${node.name}-life${++this.#lives}`)
    })
  }

  #submitBatch (): void {
    this.#submit(this.#chance.pick([500, 2_000, 5_000, 9_000]), [stepOf({ taskCount: this.#chance.pick([1, 2, 6]), processors: this.#chance.pick([500, 2_000, 4_000]) })])
  }

  #submitLongRunning (): void {
    this.#submit(ENDLESS_MS, [stepOf({ isLasting: true, taskCount: this.#chance.pick([1, 2, 3]), processors: this.#chance.pick([500, 1_000]), maxPerWorker: this.#chance.pick([0, 1]) })])
  }

  // Some jobs are cancelled, so that stops come late.
  #submit (runMs: number, steps: Parameters<typeof jobOf>[1]): void {
    const { clock, nodes } = this.#simulation
    const id = (this.#runMs.size + 1).toString(16).padStart(16, '0')
    this.#runMs.set(id, runMs)
    const cancelledAfterMs = this.#chance.between(300, 15_000)
    const job = jobOf(id, steps, { acceptedAt: clock.wallTime() })
    const [node] = nodes.values()
    void node?.jobs.submit(job, SUBMIT_WITHIN_MS)
    if (!this.#chance.happens(0.2)) return
    clock.after(cancelledAfterMs, () => {
      const [other] = nodes.values()
      void other?.jobs.cancel(job.id, SUBMIT_WITHIN_MS)
    })
  }
}
