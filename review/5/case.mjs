import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findInterruptions } from '../standins/checks.mjs'
import { sleep } from '../standins/http.mjs'
import { runCase } from '../standins/Installation.mjs'

const WORKERS = 264
const CPU = 32_000
const TASK_CPU = 20_000
const SUBMISSIONS = 22
const TASKS_PER_SUBMISSION = 11
/** So many tasks more than fit are left in the part of the installation that loses workers. */
const TASKS_LEFT_OVER = 4
/** Largest share of the workers that the pages let crash. */
const MAX_SHARE = 0.14
const REMOVED_AFTER_MS = 4_500
const WATCH_MS = 16_000
/** Bounds of the pages. */
const AWAY_MS = 6_000
const STANDSTILL_MS = 3_000

runCase(dirname(fileURLToPath(import.meta.url)), async (installation, hasTrouble) => {
  await installation.start({ processes: 3, workers: WORKERS, cpu: CPU, memMb: 125_000 })
  await sleep(6_000)
  const submitted = []
  for (let index = 0; index < SUBMISSIONS; index++) {
    submitted.push(await installation.submit({ spec: 'watch', steps: [{ count: TASKS_PER_SUBMISSION, cpu: TASK_CPU, mem_mb: 6_000, long_running: true }] }, () => ({})))
    await sleep(600)
  }
  const isRunning = () => installation.workers.filter(worker => worker.runningCount > 0).length
  for (let waited = 0; isRunning() < SUBMISSIONS * TASKS_PER_SUBMISSION && waited < 20_000; waited += 200) await sleep(200)
  const cells = [0, 1].map(index => new Set(JSON.parse(installation.store.read('terms', 'cell-0', `layout-${index}`) ?? '{"racks":[]}').racks))
  const ofCell = cells.map(racks => installation.workers.filter(worker => racks.has(worker.rackKey)))
  installation.record('before', { running: isRunning(), cells: ofCell.map(workers => ({ workers: workers.length, free: freeOf(workers).length })) })
  // The part with fewer workers that are free.
  const [full = []] = ofCell.sort((one, other) => freeOf(one).length - freeOf(other).length)
  const free = freeOf(full)
  const lost = full.filter(worker => worker.runningCount > 0).slice(0, free.length + TASKS_LEFT_OVER)
  if (lost.length > WORKERS * MAX_SHARE) throw new Error(`${lost.length} workers would have to crash`)
  if (hasTrouble) {
    installation.record('disruption', { what: 'workers crash and are lost for good', workers: lost.map(({ id }) => id) })
    for (const worker of lost) worker.crash()
    await sleep(REMOVED_AFTER_MS)
    for (const worker of lost) installation.store.remove('servers', '', worker.id)
  }
  await sleep(WATCH_MS)
  const sound = installation.workers.filter(worker => !hasTrouble || !lost.includes(worker))
  const empty = sound.filter(worker => worker.runningCount === 0).length
  installation.record('after', { running: isRunning(), soundWorkers: sound.length, emptyWorkers: empty })
  const away = submitted.flatMap(({ id }) => findInterruptions(installation.events, id, installation.now)).filter(({ ms }) => ms > AWAY_MS + STANDSTILL_MS)
  if (empty < 2 * away.length) return []
  return away.map(({ task, ms }) => `${task} has had no run for ${ms} ms, while ${empty} workers that it fits on are sound and empty`)
})

const freeOf = workers => workers.filter(worker => worker.runningCount === 0)
