import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findTwice } from '../standins/checks.mjs'
import { sleep } from '../standins/http.mjs'
import { runCase } from '../standins/Installation.mjs'

const WORKERS = 2
const TASKS_PER_SUBMISSION = 60
const SUBMISSIONS = 20
const TASK_MS = 2_200
const TASK_CPU = 100
const DOWN_MS = 3_500

runCase(dirname(fileURLToPath(import.meta.url)), async (installation, hasTrouble) => {
  await installation.start({ processes: 3, workers: WORKERS, cpu: 64_000, memMb: 250_000 })
  const body = { spec: 'draft', steps: [{ count: TASKS_PER_SUBMISSION, cpu: TASK_CPU, mem_mb: 64, estimate_ms: TASK_MS }] }
  const submitted = await Promise.all(Array.from({ length: SUBMISSIONS }, () => installation.submit(body, () => ({ ms: TASK_MS }))))
  const total = TASKS_PER_SUBMISSION * SUBMISSIONS
  const starts = () => installation.events.filter(({ kind }) => kind === 'start').length
  for (let waited = 0; starts() < total && waited < TASK_MS; waited += 20) await sleep(20)
  installation.record('started', { starts: starts(), ends: installation.events.filter(({ kind }) => kind === 'end').length })
  if (hasTrouble) installation.kill(installation.owner, { downMs: DOWN_MS })
  await sleep(14_000)
  const states = []
  for (const { id } of submitted) states.push(await installation.stateOf(id))
  installation.record('states', { states })
  return findTwice(installation.events)
})
