/**
 * The owner is killed, and one minion crashes with it. The minion starts again under its id, and is lost for good before
 * another process owns the cell. The next owner waits for it, and starts nothing meanwhile that was accepted before.
 */
import { SMALL_BOUNDS, newId, runCase } from '../standins-3/deployment.mjs'
import { sleep } from '../standins-3/http.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** tsw-duct: `for_s` of node_kill is 3.5 s, that of srv_crash 4.5 s at most. */
const BACK_AFTER_MS = 3_500
const DOWN_MS = 800
const UP_MS = 700
/** Of the rule: no run for 3 s, from 6 s after the last run on, if these and the 4 s before are calm. */
const IDLE_MS = 3_000
const CALM_BEFORE_MS = 4_000
const AWAY_MS = 6_000
/** After the kill; by then all trouble is over, also the restart of the process and the removal of the minion's entry. */
const WATCHED_MS = 40_000

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const { record, minions, events } = deployment
  await deployment.start({
    processes: 4,
    kinds: Array.from({ length: 8 }, () => 'a'),
    bounds: SMALL_BOUNDS,
    routes: [
      { name: 'drafts', target_latency_ms: 1_000, priority: 2, max_attempts: 3, slack_factor: 2 },
      { name: 'watches', target_latency_ms: 2_500, priority: 0, max_attempts: 4, slack_factor: 2.2 }
    ]
  })
  await deployment.until('a process owns the cell', () => deployment.owner !== undefined)
  const id = newId()
  const accepted = await deployment.request('POST', `/watches/${id}`, { spec: JSON.stringify({ cpu: 13_000 }), steps: [{ count: 6, cpu: 13_000, mem_mb: 26_000, estimate_ms: 400, long_running: true, anti_affinity: 1 }] })
  if (accepted.status !== 200) throw new Error(`The submission was answered ${accepted.status}`)
  const tasks = () => new Set(minions.flatMap(minion => minion.running.map(({ task }) => task)).filter(task => task.startsWith(id)))
  await deployment.until('all tasks run', () => tasks().size === 6)
  await sleep(5_000)
  let disturbedAt = -Infinity
  const disturb = () => { disturbedAt = deployment.now }
  let broken
  if (HAS_TROUBLE) {
    const minion = minions.find(({ running }) => running.length > 0)
    const owner = deployment.owner
    disturb()
    const restarted = deployment.restart(owner, 'SIGKILL', BACK_AFTER_MS).then(disturb)
    minion.crash()
    await sleep(DOWN_MS)
    await minion.start()
    await sleep(UP_MS)
    minion.crash()
    disturb()
    await restarted
  }
  // When each task was last seen to run.
  const lastRun = new Map([...Array(6).keys()].map(index => [`${id}.0.0.${index}`, deployment.now]))
  for (const { at, what, task } of events) if (what === 'run ends' && lastRun.has(task) && !tasks().has(task)) lastRun.set(task, at)
  const endsAt = deployment.now + WATCHED_MS
  const awayMs = new Map()
  while (deployment.now < endsAt) {
    const now = deployment.now
    const running = tasks()
    for (const [task, at] of lastRun) {
      if (running.has(task)) {
        lastRun.set(task, now)
        continue
      }
      awayMs.set(task, now - at)
      const isJudged = now - IDLE_MS - CALM_BEFORE_MS > disturbedAt && now - IDLE_MS > at + AWAY_MS
      if (isJudged && broken === undefined) {
        broken = task
        record('a task that lasts has no run for 3 s', { task, lastRunMs: now - at, calmForMs: now - disturbedAt, idleMinions: minions.filter(other => other.isUp && other.running.length === 0).length })
      }
    }
    if (running.size === 6) break
    await sleep(20)
  }
  record('how long tasks were away', Object.fromEntries(awayMs))
  return { broken: broken !== undefined, why: awayMs.size === 0 ? 'no task was away' : `${awayMs.size} of 6 tasks were away, for up to ${Math.max(...awayMs.values())} ms` }
})
