import test from 'ava'
import fc from 'fast-check'
import { jobOf, stepOf, type StoreFaultMode } from '@auburnpin/fakes'
import { JobsSimulation, type LinkState, type Node } from './support/JobsSimulation.ts'

const WORKERS = 5
const BATCH_MS = 700
const LASTING_MS = 1e9
const MIN_WORKER_CLOCK_RATE = 0.98
/** Time until every owner has the newest list of workers, and calls before have ended, in milliseconds. */
const LIST_DELAY_MS = 900

/** One disturbance, `afterMs` after the one before. `worker` is the index of the worker that it concerns. */
type Disturbance = Readonly<{ afterMs: number, worker: number }> & (
  | Readonly<{ kind: 'roll' | 'kill' | 'crash' | 'rebirth' | 'failure' | 'recovery' }>
  | Readonly<{ kind: 'suspension', durationMs: number }>
  | Readonly<{ kind: 'link', state: LinkState, isOwnersOnly: boolean }>
  | Readonly<{ kind: 'store', mode: StoreFaultMode }>
)

const atWorker = { afterMs: fc.constantFrom(5, 20, 150, 700, 1_200, 2_400, 5_000), worker: fc.nat(WORKERS - 1) }

const DISTURBANCES = fc.array(fc.oneof(
  { weight: 3, arbitrary: fc.record({ ...atWorker, kind: fc.constantFrom('roll', 'kill') }) },
  { weight: 2, arbitrary: fc.record({ ...atWorker, kind: fc.constantFrom('crash', 'rebirth', 'failure', 'recovery') }) },
  { weight: 2, arbitrary: fc.record({ ...atWorker, kind: fc.constant('suspension'), durationMs: fc.constantFrom(200, 800, 1_500, 3_000, 6_000) }) },
  { weight: 3, arbitrary: fc.record({ ...atWorker, kind: fc.constant('link'), state: fc.constantFrom('well', 'mute', 'late', 'refused'), isOwnersOnly: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ ...atWorker, kind: fc.constant('store'), mode: fc.constantFrom('well', 'refusing', 'silent', 'lost', 'late') }) }
), { minLength: 3, maxLength: 12 }) as fc.Arbitrary<Disturbance[]>

class Cluster {
  readonly simulation: JobsSimulation
  readonly #lives = new Map<string, number>()
  #jobs = 0

  constructor (workerClockRate: number) {
    this.simulation = new JobsSimulation(WORKERS, task => ({ runMs: task.startsWith('b') ? BATCH_MS : LASTING_MS, ending: 'done' }), workerClockRate)
  }

  async start (): Promise<void> {
    for (const name of ['n1', 'n2', 'n3']) this.#startNode(name)
    await this.simulation.advance(1_000)
    this.#submit('a', stepOf({ taskCount: 4, isLasting: true }))
    await this.simulation.advance(1_000)
  }

  async disturb (disturbance: Disturbance): Promise<void> {
    const { simulation } = this
    this.#submit('b', stepOf({ taskCount: 3 }))
    await simulation.advance(disturbance.afterMs)
    const worker = simulation.worker(`w${disturbance.worker + 1}`)
    const { owner } = simulation
    switch (disturbance.kind) {
      case 'roll':
        if (owner !== undefined) this.#roll(owner)
        break
      case 'kill':
        if (owner !== undefined) this.#kill(owner)
        break
      case 'crash':
        worker.crash()
        simulation.listed.delete(worker.id)
        break
      case 'rebirth':
        if (worker.hasCrashed && !simulation.listed.has(worker.id)) await this.#restart(worker.id)
        break
      case 'failure':
        worker.failRuns()
        break
      case 'recovery':
        simulation.links.clear()
        simulation.rows.faultModes.clear()
        break
      case 'suspension':
        if (owner !== undefined) this.#suspend(owner, disturbance.durationMs)
        break
      case 'link':
        simulation.links.set(disturbance.isOwnersOnly && owner !== undefined ? `${owner.name}>${worker.id}` : worker.id, disturbance.state)
        break
      case 'store':
        if (owner !== undefined) simulation.rows.faultModes.set(owner.name, disturbance.mode)
        break
    }
  }

  // By then the owner has seen that the worker is gone..
  async #restart (id: string): Promise<void> {
    const { simulation } = this
    await simulation.advance(LIST_DELAY_MS)
    simulation.worker(id).restart()
    simulation.listed.add(id)
  }

  #submit (prefix: string, step: ReturnType<typeof stepOf>): void {
    const id = `${prefix}${String(this.#jobs++).padStart(15, '0')}`
    const [node] = this.simulation.nodes.values()
    void node?.jobs.submit(jobOf(id, [step]), 2_000)
  }

  #roll (node: Node): void {
    void node.election.stop()
    this.simulation.clock.after(300, () => this.#kill(node))
  }

  #kill (node: Node): void {
    if (this.simulation.nodes.get(node.name) !== node) return
    node.kill()
    this.simulation.clock.after(1_000, () => this.#startNode(node.name))
  }

  #suspend (node: Node, durationMs: number): void {
    node.suspend()
    this.simulation.clock.after(durationMs, () => { if (this.simulation.nodes.get(node.name) === node) node.resume() })
  }

  #startNode (name: string): void {
    const life = (this.#lives.get(name) ?? 0) + 1
    this.#lives.set(name, life)
    this.simulation.addNode(name, `${name}-${life}`)
  }
}

test('no task runs twice, however workers fall silent, owners are suspended and terms follow each other', async t => {
  await fc.assert(fc.asyncProperty(DISTURBANCES, fc.constantFrom(1, MIN_WORKER_CLOCK_RATE), async (disturbances, workerClockRate) => {
    const cluster = new Cluster(workerClockRate)
    await cluster.start()
    for (const disturbance of disturbances) await cluster.disturb(disturbance)
    await cluster.simulation.advance(9_000)
    t.deepEqual(cluster.simulation.breaches, [])
  }), { numRuns: 40, seed: 5 })
})
