/**
 * The store forgets its history while the owner deletes the rows of submissions that ended long ago.
 */
import type { WorkerEvent } from '@auburnpin/fakes'
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import { Lab, sleep, type Node } from './Lab.ts'
import { TimedStore } from './TimedStore.mts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const SUBMISSIONS = 400
/** Largest description of a submission on the sheet. */
const SPEC = 'x'.repeat(2_400)
const SUBMISSION_INTERVAL_MS = 150
/** Submissions that are on their way at a time. */
const CLIENTS = 5
/**
 * Rows of ended submissions are kept for this long, and 30 s more by the program. The deployments have 120 s; the shorter
 * time lets the trial end within its 120 s.
 */
const STATUS_S = 40
const KEPT_MS = (STATUS_S + 30) * 1_000
/**
 * The owner deletes up to 50 submissions in some 0.7 s, then waits for 5 s. From the first deletion until the feeds hear
 * nothing; the history is gone a second later, while the next 50 are deleted.
 */
const FORGET_AFTER_MS = 5_000
/** No deletion for this long separates two series. */
const PAUSE_MS = 2_000
const TIMES = 2
const OBSERVED_MS = 4_000

const lab = new Lab(recordPath, STATUS_S)
const platform = new WirePlatform()
const done = new Map<string, string>()
const again = new Set<string>()
let times = hasTrouble ? TIMES : 0

const main = async (): Promise<void> => {
  await platform.start(30, { runMs: 300, ending: 'done' })
  platform.observe(({ kind, how, task, worker, attempt }: WorkerEvent) => {
    if (kind === 'started' && done.has(task)) again.add(task)
    if (kind === 'ended' && how === 'done') done.set(task, worker)
    lab.record(`${worker}: ${task} run ${attempt} ${kind} ${how}${kind === 'started' && again.has(task) ? ` AGAIN, after it was done on ${done.get(task) ?? ''}` : ''}`)
  })
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    platform.publishEntry(worker)
  }
  const store = new TimedStore(platform.rows)
  const address = await store.listen()
  let deletedAt = -Infinity
  let endsAt = Infinity
  store.onGone = table => lab.record(`store: the feed of ${table} is told that its history is gone (410)`)
  store.onRemoved = rows => {
    const [row] = rows.filter(({ table }) => table === 'jobs')
    if (row === undefined) return
    lab.record(`store: rows of submission ${row.key} are removed`)
    const isFirst = lab.now - deletedAt > PAUSE_MS
    deletedAt = lab.now
    if (!isFirst) return
    if (endsAt === Infinity) endsAt = lab.now + FORGET_AFTER_MS + TIMES * 6_000 + OBSERVED_MS
    if (times-- <= 0) return
    setTimeout(() => {
      lab.record('store: feeds hear nothing')
      void store.forgetHistory().then(() => lab.record('store: the history is dropped, and the feeds are cut'))
    }, FORGET_AFTER_MS)
  }
  for (const index of [1, 2]) await lab.startNode(`edge-derby-${index}`, address)
  await lab.ready()
  await sleep(2_000)
  const [node] = lab.nodes as [Node]
  const ids = Array.from({ length: SUBMISSIONS }, (_, index) => `5c0e7a21d9${index.toString(16).padStart(5, '0')}${(index % 16).toString(16)}`)
  const waiting = [...ids]
  await Promise.all(Array.from({ length: CLIENTS }, async () => {
    for (let id = waiting.shift(); id !== undefined; id = waiting.shift()) {
      const answer = await lab.call(node, 'POST', `/drafts/${id}`, { spec: SPEC, steps: [{ count: 2, cpu: 1_000, mem_mb: 100, estimate_ms: 300 }] })
      if (answer?.status !== 200) process.exit(2)
      await sleep(SUBMISSION_INTERVAL_MS)
    }
  }))
  await lab.until('all tasks are done', () => done.size === 2 * SUBMISSIONS, 10_000)
  await lab.until('rows are deleted', () => endsAt < Infinity, KEPT_MS + 10_000)
  while (lab.now < endsAt && again.size === 0) await sleep(100)
  await sleep(500)
  lab.record(`${again.size} tasks of ${SUBMISSIONS} submissions have started again after they were done`)
  console.log(again.size > 0 ? `TWICE: ${again.size} tasks have started again after they were done` : 'held')
  process.exit(again.size > 0 ? 1 : 0)
}

void main()
