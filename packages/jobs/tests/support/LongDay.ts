/**
 * A long day from a seed: for minutes more work comes than fits, while processes, workers and the store fail.
 */
import { Chance } from './Chance.ts'
import { DayClients } from './DayClients.ts'
import { DayFaults } from './DayFaults.ts'
import { JobsSimulation } from './JobsSimulation.ts'
import type { LongDayRecord } from './LongDayRecord.ts'

const WORKERS = 8
const WORKER_PROCESSORS = 64_000
const WORKER_MEMORY_MB = 512_000
const PROCESSES = 4
const SETTLE_MS = 4_500
const MIN_TRAFFIC_MS = 90_000
const MAX_TRAFFIC_MS = 180_000
/** Work submitted per unit of the processors of all workers. With these faults some seven tenths are used. */
const MIN_LOAD = 0.76
const MAX_LOAD = 0.88
const POLL_MS = 5_000
/** Longest time after the traffic until the play ends, in milliseconds; far more than the work left needs. */
const MAX_DRAIN_MS = 200_000
const FAULTS_SEED = 1_000_000

/**
 * The traffic ends with the end of all processes, which soon return. The day is over once all accepted jobs are completed.
 *
 * @example
 * const { record, breaches } = await new LongDay(7).play()
 */
export class LongDay {
  readonly #chance: Chance
  readonly #simulation: JobsSimulation
  readonly #clients: DayClients
  readonly #faults: DayFaults

  constructor (seed: number) {
    this.#chance = new Chance(seed)
    this.#simulation = new JobsSimulation(WORKERS, task => this.#clients.behaviourOf(task))
    for (const { capacity } of this.#simulation.workers.values()) capacity.change({ processors: WORKER_PROCESSORS, memoryMb: WORKER_MEMORY_MB })
    this.#faults = new DayFaults(this.#simulation, new Chance(seed + FAULTS_SEED))
    const load = { processors: WORKERS * WORKER_PROCESSORS, factor: this.#chance.between(MIN_LOAD, MAX_LOAD) }
    this.#clients = new DayClients(this.#simulation, this.#chance, load, node => this.#faults.isUp(node))
  }

  /** Plays the day to its end; `breaches` are those of the simulation's invariants. */
  async play (): Promise<Readonly<{ record: LongDayRecord, breaches: readonly string[] }>> {
    const simulation = this.#simulation
    for (let index = 1; index <= PROCESSES; index++) simulation.addNode(`n${index}`)
    await simulation.advance(SETTLE_MS)
    const trafficMs = Math.round(this.#chance.between(MIN_TRAFFIC_MS, MAX_TRAFFIC_MS))
    const trafficEndsAt = simulation.clock.now() + trafficMs
    this.#clients.start(trafficEndsAt)
    this.#faults.start(trafficEndsAt)
    await simulation.advance(trafficMs)
    this.#faults.endAllProcesses()
    await this.#drain()
    return { record: { jobs: this.#clients.jobs, offers: this.#faults.offers, events: simulation.events, trafficEndsAt, endedAt: simulation.clock.now() }, breaches: simulation.breaches }
  }

  async #drain (): Promise<void> {
    for (let drainedMs = 0; drainedMs < MAX_DRAIN_MS; drainedMs += POLL_MS) {
      await this.#simulation.advance(POLL_MS)
      if (await this.#simulation.settle(this.#clients.askForPhases())) return
    }
  }
}
