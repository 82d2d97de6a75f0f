/**
 * Large submissions come at once, and each process that owns the cell runs out of memory.
 */
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import { Lab, sleep, stateOf, type Node } from './Lab.ts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const SUBMISSIONS = process.env.TROUBLE === '0' ? 0 : 2
const OBSERVED_MS = 100_000
const RESTART_DELAY_MS = 3_000
const MINUTE_MS = 60_000
const RUNS = 10_000
/** Ends of processes on each of two machines that break the rule. */
const MAX_ENDS = 3

const lab = new Lab(recordPath)
const platform = new WirePlatform()
const ends = new Map<Node, number>()
const trial = { isOver: false }

const restartEnded = async (node: Node): Promise<void> => {
  while (!trial.isOver) {
    await sleep(100)
    if (!node.hasEnded || trial.isOver) continue
    ends.set(node, (ends.get(node) ?? 0) + 1)
    lab.record(`process ${node.name} has ended by itself, ${node.howEnded}: ${/FATAL ERROR[^\n]*/.exec(node.output)?.[0] ?? ''}`)
    node.output = ''
    await sleep(RESTART_DELAY_MS)
    lab.restart(node)
  }
}

const main = async (): Promise<void> => {
  await platform.start(30, { runMs: 500, ending: 'done' })
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    platform.publishEntry(worker)
  }
  for (const index of [1, 2]) await lab.startNode(`edge-derby-${index}`, platform.storeAddress)
  await lab.ready()
  await sleep(2_000)
  const [first, second] = lab.nodes as [Node, Node]
  const ids = Array.from({ length: 1 + SUBMISSIONS }, (_, index) => (0x5c0e7a21d940 + index).toString(16).padStart(16, '0'))
  const [small = '', ...large] = ids
  const answer = await lab.call(first, 'POST', `/drafts/${small}`, { spec: 'small', steps: [{ count: 6, cpu: 1000, mem_mb: 100, estimate_ms: 500 }] })
  if (answer?.status !== 200) process.exit(2)
  await sleep(2_000)
  const firstRunMs = Date.now() - RUNS * MINUTE_MS
  const accepted = await Promise.all(large.map(id => lab.call(first, 'POST', `/drafts/${id}`, { spec: 'large', repeat_count: RUNS, first_run_ms: firstRunMs, interval_ms: MINUTE_MS, steps: [{ count: 10, cpu: 1000, mem_mb: 100, estimate_ms: 500 }] })))
  if (accepted.some(other => other?.status !== 200)) process.exit(2)
  const restarting = [first, second].map(restartEnded)
  const endsAt = lab.now + OBSERVED_MS
  const isBroken = (): boolean => lab.nodes.filter(node => (ends.get(node) ?? 0) >= MAX_ENDS).length >= 2
  while (lab.now < endsAt && !isBroken()) {
    await sleep(5_000)
    for (const node of lab.nodes) lab.record(`GET ${small} at ${node.name}: ${stateOf(await lab.call(node, 'GET', `/drafts/${small}`))}`)
  }
  trial.isOver = true
  await Promise.all(restarting)
  lab.record(`ends by themselves: ${lab.nodes.map(node => `${node.name} ${ends.get(node) ?? 0}`).join(', ')}`)
  console.log(isBroken() ? 'Fault: processes end by themselves' : 'held')
  process.exit(isBroken() ? 1 : 0)
}

void main()
