/**
 * Some workers leave a part of the orders unanswered and carry them out late, then crash and start again under their ids.
 */
import { brand, SeededRandom, type Epoch } from '@auburnpin/common'
import type { WorkerEvent } from '@auburnpin/fakes'
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import type { WireWorker } from '../../platform/standIn/WireWorker.ts'
import { Lab, sleep, type Node } from './Lab.ts'
import { LateOrders } from './LateOrders.mts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const SEED = Number(process.env.SEED ?? 1)
const WORKERS = 30
/** Workers that crash in a round, and how long they are down. */
const CRASHED = 4
const DOWN_MS = 4_500
/** Part of the orders to these workers that are late, for how long before the crash. */
const LATE_SHARE = 0.45
const LATE_FOR_MS = 5_500
const LATE = { fromMs: 2_000, toMs: 12_000 }
/** It writes its entry about this often. */
const HEARTBEAT_MS = 1_500
const ROUNDS = 8
const ROUND_MS = 12_000
const SUBMISSION_INTERVAL_MS = 45
const TASKS = 28
const RUN_MS = 800
/** Every so many submissions, one has tasks that last, up to the given number of submissions. */
const LASTING_EVERY = 50
const LASTING_BELOW = 500
/** Time in which an end of a run has to be taken note of. */
const NOTED_MS = 3_000
const LAST_EPOCH = brand<Epoch>(2 ** 52)

type Done = Readonly<{ worker: string, attempt: number }>

const lab = new Lab(recordPath)
const platform = new WirePlatform()
const random = new SeededRandom(SEED)
/** Two runs of a task at the same time. */
const doubled: string[] = []
/** Starts of a task after it was done; these count only if the end is taken note of. */
const repeated = new Map<string, Done>()
const running = new Map<string, Map<string, number>>()
const done = new Map<string, Done>()
const proxies = new Map<WireWorker, LateOrders>()
const traffic = { isOn: true }

const isLasting = (index: number): boolean => index % LASTING_EVERY === 0 && index < LASTING_BELOW

const note = ({ kind, how, task, worker, attempt }: WorkerEvent): void => {
  lab.record(`${worker}: ${task} run ${attempt} ${kind} ${how}`)
  const runs = running.get(task) ?? new Map<string, number>()
  running.set(task, runs)
  if (kind === 'ended') {
    runs.delete(worker)
    if (how === 'done') done.set(task, { worker, attempt })
    return
  }
  if (kind === 'unacknowledged') {
    if (done.get(task)?.worker === worker) done.delete(task)
    if (repeated.get(task)?.worker === worker) repeated.delete(task)
    return
  }
  for (const [other, run] of runs) {
    if (other === worker) continue
    doubled.push(task)
    lab.record(`BROKEN: ${task} has run ${run} on ${other} and run ${attempt} on ${worker}`)
  }
  const end = done.get(task)
  if (end !== undefined) {
    repeated.set(task, end)
    lab.record(`${task} starts as run ${attempt} on ${worker} after run ${end.attempt} was done on ${end.worker}`)
  }
  runs.set(worker, attempt)
}

/** A worker is slow to carry out calls, crashes, and starts again. */
const crash = async (worker: WireWorker): Promise<void> => {
  const proxy = proxies.get(worker)
  if (proxy === undefined) return
  lab.record(`orders to ${worker.worker.id} are late`)
  proxy.lateness = { share: LATE_SHARE, ...LATE, random }
  await sleep(LATE_FOR_MS)
  proxy.lateness = undefined
  lab.record(`${worker.worker.id} crashes`)
  worker.worker.crash()
  await sleep(DOWN_MS)
  worker.worker.restart()
  lab.record(`${worker.worker.id} has started again`)
  await sleep(HEARTBEAT_MS * random.fraction())
  platform.publishEntry(worker)
  lab.record(`${worker.worker.id} has written its entry`)
}

const playRound = async (): Promise<void> => {
  const order = platform.workers.map(worker => ({ worker, place: random.fraction() })).sort((one, other) => one.place - other.place)
  await Promise.all(order.slice(0, CRASHED).map(({ worker }) => crash(worker)))
}

const submitSteadily = async (nodes: readonly Node[]): Promise<void> => {
  for (let index = 0; traffic.isOn; index++) {
    const id = `5c0e7a21d94${index.toString(16).padStart(5, '0')}`
    const step = isLasting(index) ? { count: 3, cpu: 2_000, mem_mb: 500, estimate_ms: 400, long_running: true } : { count: TASKS, cpu: 500, mem_mb: 100, estimate_ms: RUN_MS }
    const node = nodes[index % nodes.length]
    if (node !== undefined) void lab.call(node, 'POST', `/drafts/${id}`, { spec: 'work', steps: [step] })
    await sleep(SUBMISSION_INTERVAL_MS)
  }
}

const isBroken = (): boolean => doubled.length > 0 || repeated.size > 0

const main = async (): Promise<void> => {
  await platform.start(WORKERS, task => isLasting(Number.parseInt(task.slice(11, 16), 16)) ? { runMs: 1e9, ending: 'done', startupMs: 200 } : { runMs: RUN_MS, ending: 'done' }, 100_000)
  platform.observe(note)
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    const proxy = new LateOrders(worker.address)
    proxy.onLate = (path, body, lateMs, answer) => {
      const { task, run_id: run } = JSON.parse(body) as { task?: string, run_id?: number }
      lab.record(`${worker.worker.id}: ${path} of ${task ?? ''} run ${run ?? ''} is carried out ${lateMs} ms late: ${answer}`)
    }
    proxies.set(worker, proxy)
    platform.proxyAddresses.set(worker, await proxy.listen())
    platform.publishEntry(worker)
  }
  for (const index of [1, 2, 3]) await lab.startNode(`edge-derby-${index}`, platform.storeAddress)
  await lab.ready()
  await sleep(2_000)
  const submitting = submitSteadily(lab.nodes)
  await sleep(3_000)
  for (let count = 0; count < ROUNDS && !isBroken(); count++) {
    const endsAt = lab.now + ROUND_MS
    if (hasTrouble) void playRound()
    while (lab.now < endsAt && !isBroken()) await sleep(100)
  }
  await sleep(NOTED_MS)
  traffic.isOn = false
  await submitting
  for (const { worker } of platform.workers) {
    if (worker.hasCrashed) continue
    const report = worker.report({ epoch: LAST_EPOCH, acknowledgedEnd: 0, waitMs: 0 })
    if (report !== 'fenced') for (const { task } of report.ended) if (repeated.get(task)?.worker === worker.id) repeated.delete(task)
  }
  const counts = [...proxies.values()].map(proxy => proxy.counts)
  lab.record(`${counts.reduce((sum, { late }) => sum + late, 0)} of ${counts.reduce((sum, { orders }) => sum + orders, 0)} orders were late`)
  for (const [task, { worker, attempt }] of repeated) lab.record(`BROKEN: ${task} has started again after run ${attempt} was done on ${worker}; this end has been taken note of`)
  console.log(isBroken() ? `TWICE: ${doubled.length} tasks had two runs at the same time, ${repeated.size} started again after they were done` : 'held')
  process.exit(isBroken() ? 1 : 0)
}

void main()
