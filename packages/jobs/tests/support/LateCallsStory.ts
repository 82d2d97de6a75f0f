/**
 * A VM that is reborn while calls to it are on their way, gets new work, and is cut off soon after.
 */
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation, type LinkState, type SentCall } from './JobsSimulation.ts'

const SETTLE_MS = 1_000
/** By then an end of a lease on the old clock is beyond the longest lease on a new one. */
const IDLE_MS = 12_000
const RUNS_BEFORE_MS = 2_000
const BETWEEN_REBIRTHS_MS = 300
const SUBMIT_WITHIN_MS = 2_000
const AFTERWARDS_MS = 25_000

/** Jobs of a story: one that runs on the VM before its rebirth, one that is submitted while calls are late, and one after the rebirth. */
const EARLIER_JOB = '00000000000000a1'
const LATE_JOB = '00000000000000a2'
const LATER_JOB = '00000000000000a3'

/** What happens in a story. Times are in milliseconds. */
export type LateCalls = Readonly<{
  isLasting: boolean
  runMs: number
  /** State of the link to the VM around its rebirths. */
  link: LinkState
  /** The calls that come late over a delayed link. */
  late: readonly SentCall['kind'][]
  lateMs: number
  /** From the first late call to the crash before the first rebirth, and from the last rebirth until calls are answered. */
  lateForMs: number
  answersAfterMs: number
  downMs: number
  /** How often the VM is reborn; 0 if it dies for good. */
  rebirths: number
  /** From a rebirth until the list of workers shows it. */
  listedAfterMs: number
  /** Whether the job that was submitted last before the rebirth is cancelled then. */
  isCancelled: boolean
  /** From the first answer to the submission of the later job, and from then to the cut and to the end of the owner. */
  orderedAfterMs: number
  cutOffAfterMs: number
  owner: 'stays' | 'killed' | 'stopped'
  ownerEndsAfterMs: number
}>

const LATE_CALLS: LateCalls = {
  isLasting: true,
  runMs: 1e9,
  link: 'delayed',
  late: ['start', 'stop', 'report'],
  lateMs: 3_000,
  lateForMs: 800,
  answersAfterMs: 0,
  downMs: 300,
  rebirths: 1,
  listedAfterMs: 0,
  isCancelled: false,
  orderedAfterMs: 300,
  cutOffAfterMs: 900,
  owner: 'stays',
  ownerEndsAfterMs: 300
}

export class LateCallsStory {
  readonly #plan: LateCalls
  readonly #changes: Partial<LateCalls>
  readonly simulation: JobsSimulation

  /** `changes` to a story of a long-running task whose VM is reborn, answers and is cut off. */
  constructor (changes: Partial<LateCalls>) {
    this.#changes = changes
    this.#plan = { ...LATE_CALLS, ...changes }
    this.simulation = new JobsSimulation(2, () => ({ runMs: this.#plan.runMs, ending: 'done' }))
  }

  /** The rules that were broken, each with what is peculiar to the story. */
  get breaches (): readonly string[] {
    return this.simulation.breaches.map(breach => `${JSON.stringify(this.#changes)}: ${breach}`)
  }

  /** The longest time from the end of a task's run to its next one, in milliseconds; `Infinity` if none follows. */
  get longestAwayMs (): number {
    const endedAt = new Map<string, number>()
    let longestMs = 0
    for (const { kind, task, at } of this.simulation.events) {
      if (kind === 'ended') endedAt.set(task, at)
      if (kind !== 'started') continue
      longestMs = Math.max(longestMs, at - (endedAt.get(task) ?? at))
      endedAt.delete(task)
    }
    return endedAt.size > 0 ? Infinity : longestMs
  }

  /** Plays the story until all leases are over. */
  async play (): Promise<this> {
    const { simulation } = this
    const { late, lateMs, lateForMs, link, isCancelled, orderedAfterMs } = this.#plan
    simulation.listed.delete('w2')
    simulation.delayOf = ({ kind }) => late.includes(kind) ? lateMs : undefined
    simulation.addNode('n1')
    await simulation.advance(SETTLE_MS)
    simulation.addNode('n2')
    await simulation.advance(IDLE_MS)
    await this.#submit(EARLIER_JOB)
    await simulation.advance(RUNS_BEFORE_MS)
    simulation.links.set('w1', link)
    const submitted = this.#submit(LATE_JOB)
    await simulation.advance(lateForMs)
    await submitted
    if (isCancelled) await simulation.settle(simulation.nodes.get('n2')!.jobs.cancel(jobOf(LATE_JOB, []).id, SUBMIT_WITHIN_MS))
    await this.#beReborn()
    await simulation.advance(orderedAfterMs)
    await this.#submit(LATER_JOB)
    this.#cutOff()
    await simulation.advance(AFTERWARDS_MS)
    return this
  }

  async #beReborn (): Promise<void> {
    const { simulation } = this
    const { rebirths, downMs, listedAfterMs, answersAfterMs } = this.#plan
    const worker = simulation.worker('w1')
    for (let rebirth = 0; rebirth < rebirths; rebirth++) {
      if (rebirth > 0) await simulation.advance(BETWEEN_REBIRTHS_MS)
      if (listedAfterMs > 0) simulation.outdatedEntries.set('w1', worker.entry)
      worker.crash()
      await simulation.advance(downMs)
      worker.restart()
    }
    if (rebirths === 0) {
      worker.crash()
      simulation.listed.add('w2')
    }
    simulation.clock.after(listedAfterMs, () => simulation.outdatedEntries.clear())
    await simulation.advance(answersAfterMs)
    simulation.links.delete('w1')
  }

  #cutOff (): void {
    const { simulation } = this
    const { cutOffAfterMs, owner, ownerEndsAfterMs } = this.#plan
    simulation.clock.after(Math.min(cutOffAfterMs, ownerEndsAfterMs), () => simulation.listed.add('w2'))
    if (cutOffAfterMs < Infinity) simulation.clock.after(cutOffAfterMs, () => simulation.links.set('w1', 'mute'))
    simulation.clock.after(ownerEndsAfterMs, () => {
      if (owner === 'killed') simulation.owner?.kill()
      if (owner === 'stopped') void simulation.owner?.election.stop()
    })
  }

  async #submit (id: string): Promise<void> {
    const { simulation } = this
    const job = jobOf(id, [stepOf({ isLasting: this.#plan.isLasting })], { acceptedAt: simulation.clock.wallTime() })
    await simulation.settle(simulation.nodes.get('n2')!.jobs.submit(job, SUBMIT_WITHIN_MS))
  }
}
