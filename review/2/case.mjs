import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findStandstill, findUnnoted, highestUse } from '../standins/checks.mjs'
import { sleep } from '../standins/http.mjs'
import { runCase } from '../standins/Installation.mjs'

const WORKERS = 4
const CPU = 32_000
const OCCURRENCES = 7_000
/** The same schedule without the disruption, whose progress fits into a row. */
const FEW_OCCURRENCES = 700
const INTERVAL_MS = 5
const TASK_MS = 100
const TASK_CPU = 500
const SMALL_TASKS = 4
const SMALL_TASK_MS = 300
const SMALL_TASK_CPU = 2_000
const TASK_CPU_MAX = Math.max(TASK_CPU, SMALL_TASK_CPU)
const TRAFFIC_MS = 45_000
/** Bounds of the pages. */
const FINISH_MS = 14_000
const STANDSTILL_MS = 3_000
const ACK_MS = 4_000

runCase(dirname(fileURLToPath(import.meta.url)), async (installation, hasTrouble) => {
  await installation.start({ processes: 3, workers: WORKERS, cpu: CPU, memMb: 125_000 })
  const count = hasTrouble ? OCCURRENCES : FEW_OCCURRENCES
  const scheduled = await installation.submit({ spec: 'watch', steps: [{ count: 1, cpu: TASK_CPU, mem_mb: 64, estimate_ms: TASK_MS }], repeat_count: count, first_run_ms: Date.now(), interval_ms: INTERVAL_MS }, () => ({ ms: TASK_MS }))
  const firstRunAt = installation.now
  const small = []
  const endsAt = installation.now + TRAFFIC_MS
  while (installation.now < endsAt) {
    small.push(await installation.submit({ spec: 'draft', steps: [{ count: SMALL_TASKS, cpu: SMALL_TASK_CPU, mem_mb: 64, estimate_ms: SMALL_TASK_MS }] }, () => ({ ms: SMALL_TASK_MS })))
    await sleep(1_000)
  }
  await sleep(FINISH_MS)
  const finishAt = installation.now
  const states = {}
  for (const { id, isAccepted } of [scheduled, ...small]) if (isAccepted) states[id] = await installation.stateOf(id)
  installation.record('states', { scheduled: states[scheduled.id], states })
  await sleep(6_000)
  const breaches = []
  for (const { id, isAccepted } of [scheduled, ...small]) {
    if (!isAccepted) continue
    const due = at => id === scheduled.id ? Math.min(count, Math.floor((at - firstRunAt) / INTERVAL_MS)) : SMALL_TASKS
    const standstill = findStandstill(installation.events, id, due, finishAt, installation.now)
    if (standstill === undefined || standstill.ms < STANDSTILL_MS) continue
    const used = highestUse(installation.events, TASK_CPU_MAX, finishAt, installation.now)
    if (used > WORKERS * CPU / 2) continue
    breaches.push(`accepted submission ${id} (${states[id]}) has nothing running for ${standstill.ms} ms, ${FINISH_MS} ms after the end of the traffic: ${standstill.done} of ${standstill.due} due tasks are done, and at most ${used} of ${WORKERS * CPU} thousandths of a core are in use`)
  }
  const { listed, unnoted } = findUnnoted(installation.events, installation.now, ACK_MS)
  const unfinished = Object.values(states).filter(state => state !== 'completed').length
  installation.record('summary', { accepted: Object.keys(states).length, unfinished, endsListed: listed, endsNotNoted: unnoted })
  return breaches
})
