/** Guards against entries of workers that stop scheduling for all others (incident 015). */
import test from 'ava'
import { brand, type ServiceName } from '@auburnpin/common'
import type { WorkerEntry } from '@auburnpin/core'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN = { runMs: 300, ending: 'done' } as const

/** Entries that differ in one name from a sound one. */
const ODD_NAMES: readonly (readonly [string, Partial<WorkerEntry>])[] = [
  ...['__proto__', 'constructor', 'toString', 'hasOwnProperty', ''].map(name => [`service ${name.slice(0, 20)}`, { service: brand<ServiceName>(name), labels: ['large', 'r1'] }] as const),
  ...['__proto__', '/'].flatMap(name => [[`rack ${name.slice(0, 20)}`, { rack: name }] as const, [`zone ${name.slice(0, 20)}`, { zone: name, rack: 'r' }] as const, [`label ${name.slice(0, 20)}`, { labels: [name] }] as const])
]

/** Starts three processes; the last five of the workers have odd entries from the time on at which all are divided. */
const startWithOddEntries = async (workersPerCell: number, changes: Partial<WorkerEntry>): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(12, () => RUN)
  simulation.workersPerCell = workersPerCell
  simulation.mutateEntry = entry => simulation.clock.now() > 4_000 && Number(entry.id.slice(1)) > 7 ? { ...entry, ...changes } : entry
  for (let index = 1; index <= 3; index++) simulation.addNode(`n${index}`)
  await simulation.advance(5_000)
  return simulation
}

const countDone = (simulation: JobsSimulation): number => simulation.events.filter(({ how }) => how === 'done').length

const submit = async (simulation: JobsSimulation, first: number): Promise<void> => {
  for (let index = first; index < first + 8; index++) {
    const [node] = simulation.nodes.values()
    await simulation.settle(node!.jobs.submit(jobOf(index.toString(16).padStart(16, 'a'), [stepOf()], { acceptedAt: simulation.clock.wallTime() }), 2_000))
  }
}

for (const [name, changes] of ODD_NAMES) {
  test(`five entries with an odd name cost no other worker, before and after a takeover: ${name}`, async t => {
    for (const workersPerCell of [250, 6]) {
      const simulation = await startWithOddEntries(workersPerCell, changes)
      await submit(simulation, 0)
      await simulation.advance(6_000)
      t.is(countDone(simulation), 8, `${workersPerCell} workers per cell`)
      simulation.owner?.kill()
      await simulation.advance(4_000)
      await submit(simulation, 8)
      await simulation.advance(9_000)
      t.is(countDone(simulation), 16, `${workersPerCell} workers per cell, after the takeover`)
      t.deepEqual(simulation.breaches, [])
    }
  })
}
