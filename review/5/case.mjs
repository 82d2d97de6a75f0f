import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { sleep } from '../standins/http.mjs'
import { runCase } from '../standins/Installation.mjs'

const SUBMISSIONS = 40
const TASK_MS = 1_000
const KILLS = 2
const DOWN_MS = 3_500
/** Bound of the pages: `visible_ms` and 2 s more. */
const COUNTED_AFTER_MS = 5_000

runCase(dirname(fileURLToPath(import.meta.url)), async (installation, hasTrouble) => {
  await installation.start({ processes: 5, workers: 4, cpu: 32_000, memMb: 125_000 })
  const killed = new Set()
  const killOwner = () => {
    const { owner } = installation
    killed.add(owner)
    installation.kill(owner, { downMs: DOWN_MS })
    return owner
  }
  let last = hasTrouble ? killOwner() : undefined
  const accepted = []
  for (let index = 0; index < SUBMISSIONS; index++) {
    const { id, isAccepted } = await installation.submit({ spec: 'draft', steps: [{ count: 2, cpu: 1_000, mem_mb: 64, estimate_ms: TASK_MS }] }, () => ({ ms: TASK_MS }))
    if (isAccepted) accepted.push({ id, at: installation.now })
  }
  const breaches = []
  const endsAt = installation.now + 12_000
  while (installation.now < endsAt) {
    if (hasTrouble && killed.size < KILLS && installation.owner !== last) last = killOwner()
    const now = installation.now
    const begun = new Set(installation.events.filter(({ kind }) => kind === 'start').map(({ task }) => task.split('.')[0]))
    const counted = accepted.filter(({ id, at }) => now - at > COUNTED_AFTER_MS && !begun.has(id)).length
    const asked = installation.processes.filter(process => !killed.has(process))
    if (counted > 0) {
      const answers = await Promise.all(asked.map(process => installation.send(process, 'GET', '')))
      for (const [index, answer] of answers.entries()) {
        const stillWaiting = accepted.filter(({ id, at }) => now - at > COUNTED_AFTER_MS && !installation.events.some(({ kind, task }) => kind === 'start' && task.startsWith(id))).length
        if (answer?.status !== 200 || answer.body.pending >= stillWaiting / 2) continue
        breaches.push(`${asked[index].name} gives ${answer.body.pending} as pending at ${now} ms, while ${stillWaiting} submissions accepted over ${COUNTED_AFTER_MS} ms before have not begun`)
        installation.record('pending', { process: asked[index].name, pending: answer.body.pending, counted: stillWaiting })
      }
    }
    await sleep(20)
  }
  return breaches
})
