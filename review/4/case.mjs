import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findStandstill, highestUse } from '../standins/checks.mjs'
import { sleep } from '../standins/http.mjs'
import { runCase } from '../standins/Installation.mjs'

const WORKERS = 10
const CPU = 32_000
const KIND = 'b'
/** Positions of the two workers of this kind: `w2`, and `w9`, whose id is the last one in the order of texts. */
const OF_KIND = [2, 9]
const TASKS = 2
const TASK_CPU = 4_000
/** An entry is removed after three ping intervals of silence. */
const REMOVED_AFTER_MS = 4_500
/** Bounds of the pages. */
const FINISH_MS = 14_000
const STANDSTILL_MS = 3_000

runCase(dirname(fileURLToPath(import.meta.url)), async (installation, hasTrouble) => {
  await installation.start({ processes: 3, workers: WORKERS, cpu: CPU, memMb: 125_000, kindOf: index => OF_KIND.includes(index) ? KIND : 'a' })
  const lost = installation.workers[OF_KIND[0] - 1]
  if (hasTrouble) {
    installation.record('disruption', { what: 'the worker crashes and is lost for good', worker: lost.id })
    lost.crash()
    await sleep(REMOVED_AFTER_MS)
    installation.store.remove('servers', '', lost.id)
  }
  await sleep(5_000)
  const body = { spec: 'watch', steps: [{ count: TASKS, cpu: TASK_CPU, mem_mb: 4_000, long_running: true, image: 'watch', target_ms: 150, requirements: KIND }] }
  const { id, isAccepted } = await installation.submit(body, () => ({}))
  if (!isAccepted) throw new Error('the submission is not accepted')
  await sleep(FINISH_MS)
  const finishAt = installation.now
  await sleep(5_000)
  const state = await installation.stateOf(id)
  installation.record('state', { id, state })
  const standstill = findStandstill(installation.events, id, () => TASKS, finishAt, installation.now)
  const used = highestUse(installation.events, TASK_CPU, finishAt, installation.now)
  if (standstill === undefined || standstill.ms < STANDSTILL_MS) return []
  return [`accepted submission ${id} (${state}) has nothing running ${FINISH_MS} ms after the end of the traffic, for ${standstill.ms} ms; a worker of kind ${KIND} has ${CPU - used} of ${CPU} thousandths of a core free, and the ${TASKS} tasks need ${TASKS * TASK_CPU}`]
})
