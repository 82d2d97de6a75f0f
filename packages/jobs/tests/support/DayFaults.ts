/**
 * Faults of a long day: of processes, workers and the store, each kind in a series of its own, so that they overlap.
 */
import type { Chance } from './Chance.ts'
import type { JobsSimulation, LinkState, Node } from './JobsSimulation.ts'
import type { Offer } from './LongDayRecord.ts'

const MIN_WORKERS = 5
const MIN_PROCESSES = 2
/** Time for which processes are away after the end that concerns all of them, in milliseconds. */
const RETURN_MS = 1_400
/**
 * Time without another fault of a worker after one, in milliseconds. A late report that a later incarnation carries out
 * is a fault that KNOWN-RED.txt lists under rebornWorkers.
 */
const REST_MS = 6_000

export class DayFaults {
  readonly #simulation: JobsSimulation
  readonly #chance: Chance
  readonly #offers: Offer[] = []
  readonly #offered = new Map<string, number>()
  readonly #suspended = new Set<Node>()
  readonly #restingUntil = new Map<string, number>()
  #endsAt = 0
  #lives = 0

  constructor (simulation: JobsSimulation, chance: Chance) {
    this.#simulation = simulation
    this.#chance = chance
  }

  /** What each worker offers, from each change on. */
  get offers (): readonly Offer[] {
    return this.#offers
  }

  isUp (node: Node): boolean {
    return !this.#suspended.has(node)
  }

  /** Notes the workers' offers, and disturbs from now on until `endsAt`; every fault is over by then. */
  start (endsAt: number): void {
    this.#endsAt = endsAt
    this.#noteOffers()
    this.#series(5_000, 14_000, () => this.#chance.pick([() => this.#killOwner(), () => this.#suspendOwner()])())
    this.#series(4_000, 11_000, () => this.#chance.pick([() => this.#cutOffWorker(), () => this.#crashWorker(), () => this.#takeWorkerAway()])())
    this.#series(12_000, 28_000, () => this.#disturbStore())
  }

  /** Kills all processes at once; they return soon. */
  endAllProcesses (): void {
    const nodes = [...this.#simulation.nodes.values()]
    for (const node of nodes) node.kill()
    this.#suspended.clear()
    this.#simulation.clock.after(RETURN_MS, () => { for (const { name } of nodes) this.#startProcess(name) })
  }

  get #now (): number {
    return this.#simulation.clock.now()
  }

  #series (minGapMs: number, maxGapMs: number, disturb: () => void): void {
    this.#simulation.clock.after(this.#chance.between(minGapMs, maxGapMs), () => {
      if (this.#now >= this.#endsAt) return
      disturb()
      this.#series(minGapMs, maxGapMs, disturb)
    })
  }

  #after (ms: number, act: () => void): void {
    this.#simulation.clock.after(Math.min(ms, this.#endsAt - this.#now), () => {
      act()
      this.#noteOffers()
    })
  }

  #noteOffers (): void {
    const { workers, listed, links } = this.#simulation
    const cutOff = new Set([...links.keys()].map(key => key.slice(key.indexOf('>') + 1)))
    for (const { id, hasCrashed, isDraining, capacity } of workers.values()) {
      const isInTouch = listed.has(id) && !hasCrashed && !isDraining && !cutOff.has(id)
      const processors = isInTouch ? capacity.amounts.processors : 0
      if (this.#offered.get(id) === processors) continue
      this.#offered.set(id, processors)
      this.#offers.push({ worker: id, at: this.#now, processors })
    }
  }

  #startProcess (name: string): void {
    if (!this.#simulation.nodes.has(name)) this.#simulation.addNode(name, `${name}-life${++this.#lives}`)
  }

  get #owner (): Node | undefined {
    const up = [...this.#simulation.nodes.values()].filter(node => this.isUp(node))
    if (up.length <= MIN_PROCESSES) return undefined
    return up.find(({ election }) => election.isOwner) ?? this.#chance.pick(up)
  }

  #killOwner (): void {
    const owner = this.#owner
    if (owner === undefined) return
    owner.kill()
    this.#after(this.#chance.between(100, 3_000), () => this.#startProcess(owner.name))
  }

  #suspendOwner (): void {
    const owner = this.#owner
    if (owner === undefined) return
    owner.suspend()
    this.#suspended.add(owner)
    this.#after(this.#chance.between(300, 6_000), () => {
      this.#suspended.delete(owner)
      owner.resume()
    })
  }

  // A worker without a fault, which has one for this long from now on.
  #pickWorker (faultMs: number): string | undefined {
    const sound = [...this.#offered].filter(([id, processors]) => processors > 0 && (this.#restingUntil.get(id) ?? 0) <= this.#now)
    const offering = [...this.#offered.values()].filter(processors => processors > 0)
    if (sound.length === 0 || offering.length <= MIN_WORKERS) return undefined
    const [id] = this.#chance.pick(sound)
    this.#restingUntil.set(id, this.#now + faultMs + REST_MS)
    return id
  }

  #cutOffWorker (): void {
    const cutOffMs = this.#chance.between(200, 9_000)
    const id = this.#pickWorker(cutOffMs)
    if (id === undefined) return
    const { links, nodes } = this.#simulation
    const key = this.#chance.happens(0.4) ? `${this.#chance.pick([...nodes.keys()])}>${id}` : id
    links.set(key, this.#chance.pick<LinkState>(['mute', 'late', 'refused']))
    this.#noteOffers()
    this.#after(cutOffMs, () => links.delete(key))
  }

  #crashWorker (): void {
    const downMs = this.#chance.between(200, 4_000)
    const id = this.#pickWorker(downMs)
    if (id === undefined) return
    const worker = this.#simulation.worker(id)
    worker.crash()
    this.#noteOffers()
    this.#after(downMs, () => worker.restart())
  }

  // It drains, leaves the list and is ended, and another of its name comes some time later.
  #takeWorkerAway (): void {
    const drainMs = this.#chance.between(500, 3_000)
    const awayMs = this.#chance.between(2_000, 12_000)
    const id = this.#pickWorker(drainMs + awayMs)
    if (id === undefined) return
    const { listed } = this.#simulation
    const worker = this.#simulation.worker(id)
    worker.isDraining = true
    this.#noteOffers()
    this.#after(drainMs, () => {
      worker.crash()
      listed.delete(id)
      this.#after(awayMs, () => {
        worker.isDraining = false
        worker.restart()
        listed.add(id)
      })
    })
  }

  #disturbStore (): void {
    const { faultModes } = this.#simulation.rows
    const process = this.#chance.happens(0.5) ? 'all' : this.#owner?.name ?? 'all'
    faultModes.set(process, this.#chance.pick(['refusing', 'silent', 'lost', 'late'] as const))
    this.#after(this.#chance.between(500, 4_000), () => faultModes.delete(process))
  }
}
