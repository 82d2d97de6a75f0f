/** Guards against entries of workers that stop scheduling for all others (incidents 015 and 016). */
import test from 'ava'
import { brand, type QueueName, type ServiceName } from '@auburnpin/common'
import type { WorkerEntry } from '@auburnpin/core'
import { jobOf, stepOf } from '@auburnpin/fakes'
import { ENDLESS_RUN } from './support/FullCell.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'

const RUN = { runMs: 300, ending: 'done' } as const
const LONG = 'x'.repeat(46_000)

/** Entries that differ in one name from a sound one. */
const ODD_NAMES: readonly (readonly [string, Partial<WorkerEntry>])[] = [
  ...['__proto__', 'constructor', 'toString', 'hasOwnProperty', '', LONG].map(name => [`service ${name.slice(0, 20)}`, { service: brand<ServiceName>(name), labels: ['large', 'r1'] }] as const),
  ...['__proto__', '/', LONG].flatMap(name => [[`rack ${name.slice(0, 20)}`, { rack: name }] as const, [`zone ${name.slice(0, 20)}`, { zone: name, rack: 'r' }] as const, [`label ${name.slice(0, 20)}`, { labels: [name] }] as const])
]

/** Starts three processes; the last five of the workers have odd entries from the time on at which all are divided. */
const startWithOddEntries = async (workersPerCell: number, changes: Partial<WorkerEntry>): Promise<JobsSimulation> => {
  const simulation = new JobsSimulation(12, () => RUN)
  simulation.workersPerCell = workersPerCell
  simulation.mutateEntry = entry => simulation.clock.now() > 4_000 && Number(entry.id.slice(1)) > 7 ? { ...entry, ...changes, ...(changes.rack === LONG ? { rack: `${LONG}${entry.id}` } : {}) } : entry
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

test('a deployment whose rows hold odd names of an earlier version goes on', async t => {
  const simulation = new JobsSimulation(12, () => RUN)
  simulation.workersPerCell = 6
  const offer = { processors: 8_000, memoryMb: 1_000, accelerators: 0, labels: [] }
  simulation.rows.put('terms', 'cell-0', 'layout', JSON.stringify({ version: 3, cells: 2 }))
  simulation.rows.put('terms', 'cell-0', 'layout-0', `{"racks":["/w1","derby/${LONG}"],"services":{"__proto__":${JSON.stringify(offer)},"desk":${JSON.stringify(offer)}},"epochOffsets":{}}`)
  simulation.rows.put('terms', 'cell-0', 'layout-1', `{"racks":["/w2"],"services":{"${LONG}":${JSON.stringify(offer)},"desk":${JSON.stringify(offer)}},"epochOffsets":{}}`)
  simulation.rows.put('terms', 'cell-0', 'workers-0', JSON.stringify([{ id: 'gone', incarnation: 1, address: '10.0.0.1:80', service: LONG }]))
  for (let index = 1; index <= 3; index++) simulation.addNode(`n${index}`)
  await simulation.advance(12_000)
  await submit(simulation, 0)
  await simulation.advance(6_000)
  t.is(countDone(simulation), 8)
  t.deepEqual(simulation.breaches, [])
  for (const key of ['layout-0', 'layout-1']) t.true(Buffer.byteLength(simulation.rows.read('terms', 'cell-0', key)?.value ?? '') < 2_000, key)
})

test('images and queues with the longest names that a job can have stop no commit', async t => {
  const simulation = new JobsSimulation(4, task => task.startsWith('0') ? RUN : ENDLESS_RUN)
  simulation.addNode('n1')
  await simulation.advance(1_000)
  for (let index = 0; index < 4; index++) {
    const name = `${index}${'q'.repeat(40_000)}`
    const [node] = simulation.nodes.values()
    await simulation.settle(node!.jobs.submit(jobOf(index.toString(16).padStart(16, 'a'), [stepOf({ isLasting: true, latencyTargetMs: 100, image: name })]), 2_000))
    await simulation.settle(node!.jobs.submit(jobOf(index.toString(16).padStart(16, 'b'), [stepOf({ processors: 100_000 })], { queue: brand<QueueName>(name) }), 2_000))
  }
  // By then, an owner without commits holds its term no more.
  await simulation.advance(5_000)
  await simulation.settle([...simulation.nodes.values()][0]!.jobs.submit(jobOf('00000000000000b1', [stepOf()]), 2_000))
  await simulation.advance(9_000)
  t.is(simulation.startsOf('00000000000000b1.0.0.0'), 1)
  t.deepEqual(simulation.breaches, [])
})
