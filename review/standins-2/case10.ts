/**
 * The process that owns the cell is killed, and then the one that has taken over. The others are asked for `pending`.
 */
import type { WorkerEvent } from '@auburnpin/fakes'
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import { Lab, sleep, type Node } from './Lab.ts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const PROCESSES = 5
const SUBMISSIONS = 40
const KILLS = 2
const DOWN_MS = 3_500
/** Bound of the pages: `visible_ms` and 2 s more. */
const COUNTED_AFTER_MS = 5_000
const OBSERVED_MS = 14_000

const lab = new Lab(recordPath)
const platform = new WirePlatform()
const begun = new Set<string>()
const accepted: Array<Readonly<{ id: string, at: number }>> = []
const killed = new Set<Node>()
let breaches = 0

const ownerOf = (): Node | undefined => {
  const value = platform.rows.read('terms', 'cell-0', 'term')?.value
  if (value === undefined) return undefined
  const { holder } = JSON.parse(value) as { holder?: unknown }
  return lab.nodes.find(({ name }) => name === holder)
}

const kill = (node: Node): void => {
  killed.add(node)
  lab.record(`process ${node.name}, which owns the cell, is killed`)
  node.signal('SIGKILL')
  setTimeout(() => lab.restart(node), DOWN_MS)
}

const submit = async (): Promise<void> => {
  for (let index = 0; index < SUBMISSIONS; index++) {
    const nodes = lab.nodes.filter(node => !killed.has(node))
    const node = nodes[index % nodes.length]
    if (node === undefined) return
    const id = `5c0e7a21d94b3${index.toString(16).padStart(3, '0')}`
    const answer = await lab.call(node, 'POST', `/drafts/${id}`, { spec: 'draft', steps: [{ count: 2, cpu: 1_000, mem_mb: 64, estimate_ms: 1_000 }] })
    if (answer?.status === 200) accepted.push({ id, at: lab.now })
  }
}

/** Submissions that were accepted long enough before `time` and have not begun by now. */
const countWaiting = (time: number): number => accepted.filter(({ id, at }) => time - at > COUNTED_AFTER_MS && !begun.has(id)).length

const ask = async (node: Node): Promise<void> => {
  const askedAt = lab.now
  const answer = await lab.call(node, 'GET', '/drafts/')
  const waiting = countWaiting(askedAt)
  if (answer?.status !== 200 || waiting === 0) return
  const { pending } = JSON.parse(answer.text) as { pending?: unknown }
  if (typeof pending !== 'number' || pending >= waiting / 2) return
  breaches++
  lab.record(`BROKEN: ${node.name} gives ${pending} as pending, while ${waiting} submissions accepted over ${COUNTED_AFTER_MS} ms before have not begun`)
}

const main = async (): Promise<void> => {
  await platform.start(30, { runMs: 1_000, ending: 'done' })
  platform.observe(({ kind, task, worker, attempt, how }: WorkerEvent) => {
    lab.record(`${worker}: ${task} run ${attempt} ${kind} ${how}`)
    if (kind === 'started') begun.add(task.slice(0, 16))
  })
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    platform.publishEntry(worker)
  }
  for (let index = 1; index <= PROCESSES; index++) await lab.startNode(`edge-derby-${index}`, platform.storeAddress)
  await lab.ready()
  await sleep(5_000)
  let lastKilled: Node | undefined
  const killNext = (): void => {
    const owner = ownerOf()
    if (owner === undefined || killed.size >= KILLS || owner === lastKilled) return
    kill(owner)
    lastKilled = owner
  }
  if (hasTrouble) killNext()
  const submitting = submit()
  const endsAt = lab.now + OBSERVED_MS
  while (lab.now < endsAt) {
    if (hasTrouble) killNext()
    if (countWaiting(lab.now) > 0) await Promise.all(lab.nodes.filter(node => !killed.has(node)).map(ask))
    await sleep(20)
  }
  await submitting
  lab.record(`${accepted.length} submissions accepted, ${begun.size} begun; ${breaches} answers broke the rule`)
  console.log(breaches > 0 ? `MIXED: ${breaches} answers gave under half of the submissions that waited` : `held: ${accepted.length} accepted, ${begun.size} begun`)
  process.exit(breaches > 0 ? 1 : accepted.length === SUBMISSIONS && begun.size === SUBMISSIONS ? 0 : 2)
}

void main()
