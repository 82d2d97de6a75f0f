import test from 'ava'
import fc from 'fast-check'
import { brand, type JobId } from '@auburnpin/common'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { jobPart, JOBS_TABLE } from '../src/rows.ts'
import { JobsSimulation, type Node } from './support/JobsSimulation.ts'

const STEP_MS = 300
/** Time after which every late transaction has been applied or has failed. */
const SETTLE_MS = 12_000
const NODES = ['n1', 'n2', 'n3'] as const
const NODE = fc.constantFrom(...NODES)
const MODE = fc.constantFrom('well' as const, 'refusing' as const, 'silent' as const, 'lost' as const, 'late' as const)

const ACTION = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), node: NODE, withinMs: fc.constantFrom(100, 900, 2_800) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('repeat' as const), node: NODE, which: fc.nat(20), withinMs: fc.constantFrom(100, 2_800) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('fault' as const), node: fc.constantFrom('all', ...NODES), mode: MODE }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('trim' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('suspend' as const), node: NODE, ms: fc.integer({ min: 200, max: 6_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), node: NODE }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 10, max: 2_000 }) }) }
)

/** Everything that clients were told. */
class Clients {
  readonly simulation: JobsSimulation
  readonly sent: JobId[] = []
  readonly accepted = new Set<JobId>()
  /** Jobs with an attempt whose outcome is not known to the client. */
  readonly open = new Set<JobId>()
  readonly errors: string[] = []
  readonly #attempts = new Map<JobId, number>()
  #lives = 0

  constructor (simulation: JobsSimulation) {
    this.simulation = simulation
    for (const name of NODES) simulation.addNode(name)
  }

  node (name: string): Node | undefined {
    return this.simulation.nodes.get(name)
  }

  submit (name: string, id: JobId, withinMs: number): void {
    const node = this.node(name)
    if (node === undefined) return
    if (!this.sent.includes(id)) this.sent.push(id)
    this.open.add(id)
    this.#attempts.set(id, (this.#attempts.get(id) ?? 0) + 1)
    void node.jobs.submit(jobOf(id, [stepOf()]), withinMs).then(outcome => {
      if (outcome.ok) {
        this.accepted.add(id)
        if (!this.isStored(id)) this.errors.push(`${id} was accepted and is not stored`)
      } else if (outcome.val.kind !== 'unknown-outcome' && this.#attempts.get(id) === 1) this.open.delete(id)
    })
  }

  isStored (id: JobId): boolean {
    return this.simulation.rows.read(JOBS_TABLE, jobPart(id), id) !== undefined
  }

  /** Asks every process for every accepted job; a process that is suspended answers later or never. */
  ask (): void {
    for (const node of this.simulation.nodes.values()) {
      for (const id of this.accepted) void this.#askFor(node, id)
    }
  }

  async #askFor (node: Node, id: JobId): Promise<void> {
    const phase = await node.jobs.phaseOf(id)
    if (phase.err) return
    if (phase.val === undefined) this.errors.push(`${id} is unknown to ${node.name}`)
    if (phase.val === 'failed' || phase.val === 'cancelled') this.errors.push(`${id} is ${phase.val} without cause`)
  }

  restart (name: string): void {
    this.node(name)?.kill()
    this.simulation.addNode(name, `${name}-${++this.#lives + 1}`)
  }
}

test('what was accepted is stored and known to every process, and what was refused never runs, whatever the store does', async t => {
  await fc.assert(fc.asyncProperty(fc.array(ACTION, { minLength: 5, maxLength: 30 }), async actions => {
    const simulation = new JobsSimulation(4, () => ({ runMs: 400, ending: 'done' }))
    simulation.workersPerCell = 2
    const clients = new Clients(simulation)
    await simulation.advance(2_000)
    for (const action of actions) {
      switch (action.kind) {
        case 'submit':
        case 'repeat': {
          const isNew = action.kind === 'submit' || clients.sent.length === 0
          const id = isNew ? brand<JobId>(clients.sent.length.toString(16).padStart(16, '0')) : clients.sent[action.which % clients.sent.length] as JobId
          clients.submit(action.node, id, action.withinMs)
          break
        }
        case 'fault':
          simulation.rows.faultModes.set(action.node, action.mode)
          break
        case 'heal':
          simulation.rows.faultModes.clear()
          break
        case 'trim':
          simulation.rows.trim()
          break
        case 'suspend': {
          const node = clients.node(action.node)
          node?.suspend()
          simulation.clock.after(action.ms, () => node?.resume())
          break
        }
        case 'restart':
          clients.restart(action.node)
          break
        case 'wait':
          await simulation.advance(action.ms)
      }
      clients.ask()
      await simulation.advance(STEP_MS)
    }
    simulation.rows.faultModes.clear()
    for (let waitedMs = 0; waitedMs < SETTLE_MS; waitedMs += STEP_MS) {
      clients.ask()
      await simulation.advance(STEP_MS)
    }
    const refused = clients.sent.filter(id => !clients.open.has(id))
    for (const id of refused) if (clients.isStored(id)) clients.errors.push(`${id} was refused and is stored`)
    for (const id of clients.accepted) if (simulation.startsOf(`${id}.0.0.0`) === 0) clients.errors.push(`${id} was accepted and has not run`)
    t.deepEqual([...clients.errors, ...simulation.breaches], [])
  }), { numRuns: 60, seed: 21 })
})
