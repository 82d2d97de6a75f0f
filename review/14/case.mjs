/**
 * A minion is lost for good together with the owner. Then single processes are killed, four times in all, each time the one
 * that has just written to the store under a condition. A submission of one harmless task is shown as failed, although no run
 * of it has failed and its task has crashed nothing.
 */
import { SMALL_BOUNDS, newId, runCase } from '../standins-3/deployment.mjs'
import { sleep } from '../standins-3/http.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** `for_s` of node_kill on tsw-duct: the machine is back after that time. */
const BACK_AFTER_MS = 3_500
const KILLS = 4
const WORK_MS = 8_000
const WATCHED_MS = 20_000

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const { record, minions, store } = deployment
  await deployment.start({
    processes: 8,
    kinds: Array.from({ length: 8 }, () => 'a'),
    bounds: SMALL_BOUNDS,
    routes: [{ name: 'drafts', target_latency_ms: 1_000, priority: 2, max_attempts: 3, slack_factor: 2 }]
  })
  await deployment.until('a process owns the cell', () => deployment.owner !== undefined)
  const id = newId()
  const task = `${id}.0.0.0`
  const accepted = await deployment.request('POST', `/drafts/${id}`, { spec: JSON.stringify({ ms: WORK_MS, cpu: 7_000 }), steps: [{ count: 1, cpu: 7_000, mem_mb: 13_000, estimate_ms: WORK_MS }] })
  if (accepted.status !== 200) throw new Error(`The submission was answered ${accepted.status}`)
  const holder = () => minions.find(minion => minion.running.some(run => run.task === task))
  await deployment.until('the task runs', () => holder() !== undefined)
  await sleep(4_000)
  let kills = 0
  const restarts = []
  const killOwner = why => {
    const owner = deployment.owner
    if (owner === undefined || !deployment.processes.includes(owner)) return
    record('the process that wrote last under a condition is killed', { process: owner.name, why })
    restarts.push(deployment.restart(owner, 'SIGKILL', BACK_AFTER_MS))
  }
  if (HAS_TROUBLE) {
    store.onCommit = rows => {
      const progress = rows.find(({ table, key }) => table === 'progress' && key === id)
      if (progress === undefined) return
      record('progress of the submission is stored', { text: progress.text })
      const attempts = JSON.parse(progress.text).crashed?.['0.0.0'] ?? []
      if (kills >= KILLS || attempts.length <= kills) return
      kills++
      killOwner('it has just stored that it is about to start the task')
    }
    holder().crash()
    killOwner('together with the loss of the minion')
  }
  const states = []
  for (const endsAt = deployment.now + (HAS_TROUBLE ? 40_000 : 0) + WATCHED_MS; deployment.now < endsAt; await sleep(500)) {
    const { status, body } = await deployment.request('GET', `/drafts/${id}`)
    if (status === 200 && states.at(-1) !== body.state) states.push(body.state)
    if (body.state === 'completed' || body.state === 'failed') break
  }
  await Promise.all(restarts)
  const runs = deployment.events.filter(event => event.task === task && event.what.startsWith('run ')).map(({ at, what, minion, run, how }) => ({ at, what, minion, run, how }))
  record('states that were shown, and all runs of the task', { states, runs })
  const failedEnds = runs.filter(({ how }) => how === 'failed').length
  return { broken: states.at(-1) === 'failed' && failedEnds === 0, why: `shown as ${states.join(', ')}; ${runs.filter(({ what }) => what === 'run starts').length} starts, ${failedEnds} ends as failed, ${kills} kills after a write` }
})
