import test, { type ExecutionContext } from 'ava'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation, type Node } from './support/JobsSimulation.ts'

const JOB = '00000000000000a1'
/** A run that lasts until the worker or its lease ends. */
const LASTING_MS = 1e9

/** How long users allow a long-running task to be away after the end of its last run, in milliseconds. */
const MAX_AWAY_MS = 6_000
/** That holds at any time when the 3 s and the 4 s before them are calm, in milliseconds. */
const CALM_MS = 7_000

/**
 * What happens to the owner of the cell. `roll`: it is stopped and its process starts again; this is planned work and
 * leaves a time calm. `kill`: its process is killed and starts again. `loss`: it is killed for good.
 */
type Takeover = 'roll' | 'kill' | 'loss'

/** What happens to a worker before the first takeover. */
type Silence = 'crash' | 'mute'

type Story = Readonly<{
  silence: Silence
  /** How long the worker has been silent when the first takeover begins and the task of another worker fails. */
  silentForMs: number
  takeovers: readonly Takeover[]
  /** Time between two takeovers. */
  spacingMs: number
  /** Time until a new owner has the list of workers. */
  listReadMs?: number
  /** Delay of the whole story, which shifts it against the renewals of the term. */
  phaseMs?: number
}>

/** Three processes, and a step with a long-running task on each of four out of six workers. */
class Cluster {
  readonly simulation: JobsSimulation
  readonly #lives = new Map<string, number>()

  constructor () {
    this.simulation = new JobsSimulation(6, () => ({ runMs: LASTING_MS, ending: 'done' }))
  }

  async start (): Promise<void> {
    for (const name of ['n1', 'n2', 'n3']) this.#startNode(name)
    await this.simulation.advance(1_000)
    const job = jobOf(JOB, [stepOf({ taskCount: 4, isLasting: true, maxPerWorker: 1 })])
    await this.simulation.settle([...this.simulation.nodes.values()][0]!.jobs.submit(job, 2_000))
    await this.simulation.advance(3_000)
  }

  silence (worker: string, silence: Silence): void {
    if (silence === 'crash') this.simulation.worker(worker).crash()
    else this.simulation.links.set(worker, 'mute')
  }

  takeOver (takeover: Takeover): void {
    const { owner } = this.simulation
    if (owner === undefined) return
    if (takeover === 'roll') this.#roll(owner)
    else if (takeover === 'kill') this.#kill(owner)
    else owner.kill()
  }

  #roll (node: Node): void {
    void node.election.stop()
    this.simulation.clock.after(300, () => this.#kill(node))
  }

  #kill (node: Node): void {
    node.kill()
    this.simulation.clock.after(1_000, () => this.#startNode(node.name))
  }

  #startNode (name: string): void {
    const life = (this.#lives.get(name) ?? 0) + 1
    this.#lives.set(name, life)
    this.simulation.addNode(name, `${name}-${life}`)
  }

  /** The longest time that a task of the job was away beyond what the rules allow; 0 or less if none was. */
  overdueMs (calmFrom: number): number {
    const { events, clock } = this.simulation
    let overdueMs = -Infinity
    for (let index = 0; index < 4; index++) {
      const ofTask = events.filter(({ task, kind }) => task === `${JOB}.0.0.${index}` && kind !== 'unacknowledged')
      for (const [position, { kind, at }] of ofTask.entries()) {
        if (kind !== 'ended') continue
        const startedAt = ofTask.slice(position).find(event => event.kind === 'started')?.at ?? clock.now()
        overdueMs = Math.max(overdueMs, startedAt - Math.max(at + MAX_AWAY_MS, calmFrom + CALM_MS))
      }
    }
    return overdueMs
  }
}

const play = async (t: ExecutionContext, { silence, silentForMs, takeovers, spacingMs, listReadMs = 0, phaseMs = 0 }: Story): Promise<void> => {
  const cluster = new Cluster()
  const { simulation } = cluster
  simulation.listReadMs = listReadMs
  await cluster.start()
  await simulation.advance(phaseMs)
  const [silent, failing] = [...simulation.workers.values()].filter(({ running }) => running.length === 1)
  if (silent === undefined || failing === undefined) return t.fail('the tasks run on different workers')
  cluster.silence(silent.id, silence)
  let calmFrom = simulation.clock.now()
  await simulation.advance(silentForMs)
  for (const [index, takeover] of takeovers.entries()) {
    if (takeover !== 'roll') calmFrom = simulation.clock.now()
    cluster.takeOver(takeover)
    if (index === 0) failing.failRuns()
    await simulation.advance(spacingMs)
  }
  await simulation.advance(15_000)
  const story = `${silence} ${silentForMs} ${takeovers.join(' ')}`
  t.deepEqual(simulation.breaches, [], story)
  t.is(new Set(simulation.events.filter(({ kind, how }) => kind === 'ended' && how === 'failed')).size, 1, story)
  t.true(cluster.overdueMs(calmFrom) <= 0, `${story}: ${cluster.overdueMs(calmFrom)} ms too late`)
}

const SILENCES: readonly Silence[] = ['crash', 'mute']

test('a long-running task that fails while another worker is silent runs again within 6 s, however many rolls follow', async t => {
  for (const silence of SILENCES) {
    await play(t, { silence, silentForMs: 8_000, takeovers: ['roll', 'roll'], spacingMs: 2_500 })
    await play(t, { silence, silentForMs: 8_000, takeovers: ['roll', 'roll', 'roll'], spacingMs: 2_000 })
    for (const listReadMs of [5, 15, 40, 200]) await play(t, { silence, silentForMs: 8_000, takeovers: ['roll', 'roll'], spacingMs: 2_500, listReadMs })
  }
})

test('a long-running task that fails as the owner is killed, while another worker is silent, runs again in time', async t => {
  for (const silence of SILENCES) {
    await play(t, { silence, silentForMs: 8_000, takeovers: ['kill'], spacingMs: 0 })
    await play(t, { silence, silentForMs: 8_000, takeovers: ['kill', 'roll'], spacingMs: 4_500 })
    await play(t, { silence, silentForMs: 8_000, takeovers: ['kill', 'kill', 'roll'], spacingMs: 4_500 })
    await play(t, { silence, silentForMs: 8_000, takeovers: ['roll', 'kill', 'roll'], spacingMs: 4_500 })
  }
})

test('the tasks of a worker that falls silent before the first of several takeovers run elsewhere in time', async t => {
  for (const silence of SILENCES) {
    await play(t, { silence, silentForMs: 900, takeovers: ['roll', 'roll', 'roll', 'roll'], spacingMs: 1_000 })
    for (const silentForMs of [900, 2_500]) {
      await play(t, { silence, silentForMs, takeovers: ['roll', 'roll', 'roll'], spacingMs: 2_000 })
      await play(t, { silence, silentForMs, takeovers: ['kill', 'roll', 'roll'], spacingMs: 4_000 })
      await play(t, { silence, silentForMs, takeovers: ['roll', 'kill', 'roll'], spacingMs: 4_000 })
    }
  }
})

test('the tasks of a worker that crashes together with the owner run elsewhere in time', async t => {
  for (const takeover of ['kill', 'loss'] as const) {
    for (let phaseMs = 0; phaseMs < 500; phaseMs += 50) await play(t, { silence: 'crash', silentForMs: 0, takeovers: [takeover], spacingMs: 0, phaseMs })
  }
})
