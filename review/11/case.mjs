/**
 * The answer to an order to start is lost, and its minion is cut off 0.2 s later. It runs the task until its lease is over, and
 * lists it as lapsed once it is reached again. The task is never started again.
 */
import { SMALL_BOUNDS, newId, runCase } from '../standins-3/deployment.mjs'
import { sleep } from '../standins-3/http.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Largest dose on tsw-duct: answer_lost, 0.231 of the requests of a share of 0.455 of the minions, for 6.01 s. */
const LOST_ANSWERS = 0.23
const LOSING_MINIONS = 4
const LOSING_MS = 6_000
/** Largest dose on tsw-duct: node_cut of servers, a share of 0.17 for 5.5 s. One minion of ten is cut off. */
const CUT_MS = 5_500
const CUT_AFTER_MS = 200
/** Work of each task; the longest of agreement-draft. */
const WORK_MS = 5_400
/** `finish_s`, and the 3 s of the rule. */
const FINISH_MS = 14_000
const IDLE_MS = 3_000
/** The submissions are watched for longer, to show whether they go on later. */
const WATCHED_MS = 30_000

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const { record, minions } = deployment
  await deployment.start({
    processes: 3,
    kinds: Array.from({ length: 10 }, () => 'a'),
    bounds: SMALL_BOUNDS,
    routes: [{ name: 'drafts', target_latency_ms: 1_000, priority: 2, max_attempts: 3, slack_factor: 2 }]
  })
  await deployment.until('a process owns the cell', () => deployment.owner !== undefined)
  const accepted = []
  const submit = async () => {
    const id = newId()
    const { status } = await deployment.request('POST', `/drafts/${id}`, { spec: JSON.stringify({ ms: WORK_MS, cpu: 7_000 }), steps: [{ count: 8, cpu: 7_000, mem_mb: 13_000, estimate_ms: WORK_MS }] })
    if (status === 200) accepted.push(id)
  }
  const load = { isOn: true }
  const traffic = (async () => {
    while (load.isOn) {
      submit()
      await sleep(800)
    }
  })()
  await sleep(4_000)
  if (HAS_TROUBLE) {
    let lost
    for (const minion of minions.slice(0, LOSING_MINIONS)) {
      minion.losesAnswer = () => {
        const isLost = Math.random() < LOST_ANSWERS
        if (isLost) lost ??= minion
        return isLost
      }
    }
    setTimeout(() => { for (const minion of minions) minion.losesAnswer = () => false }, LOSING_MS)
    await deployment.until('an answer is lost', () => lost !== undefined, LOSING_MS)
    await sleep(CUT_AFTER_MS)
    lost.cut()
    await sleep(CUT_MS)
    lost.heal()
  } else await sleep(LOSING_MS)
  await sleep(2_000)
  load.isOn = false
  await traffic
  record('the traffic has ended', { accepted: accepted.length })
  await sleep(FINISH_MS)
  const stateOf = async id => (await deployment.request('GET', `/drafts/${id}`)).body.state
  // A submission is idle if none of its tasks runs at any time of the 3 s, although it isn't completed.
  const open = new Set()
  for (const id of accepted) if (await stateOf(id) !== 'completed') open.add(id)
  for (const startedAt = deployment.now; deployment.now < startedAt + IDLE_MS; await sleep(20)) {
    for (const minion of minions) for (const { task } of minion.running) open.delete(task.slice(0, 16))
  }
  const idle = []
  for (const id of open) if (await stateOf(id) !== 'completed') idle.push(id)
  const used = minions.reduce((sum, minion) => sum + minion.running.reduce((cpu, run) => cpu + run.cpu, 0), 0)
  record('submissions without a run for 3 s', { idle, usedCpu: used, capacityCpu: minions.reduce((sum, { capacity }) => sum + capacity.cpu, 0) })
  if (idle.length > 0) await sleep(WATCHED_MS)
  for (const id of idle) {
    const runs = deployment.events.filter(({ what, task }) => task?.startsWith(id) && what.startsWith('run '))
    const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task))
    const missing = [...new Set(runs.map(({ task }) => task))].filter(task => !done.has(task))
    record('a submission that is not done', { id, state: await stateOf(id), tasksNotDone: missing, history: runs.filter(({ task }) => missing.includes(task)).map(({ at, what, minion, task, run, how }) => ({ at, what, minion, task, run, how })) })
  }
  const states = await Promise.all(idle.map(stateOf))
  return { broken: idle.length > 0, why: `${idle.length} of ${accepted.length} accepted submissions had no run for 3 s, ${FINISH_MS / 1_000} s after the traffic${idle.length > 0 ? `; ${WATCHED_MS / 1_000} s later: ${states.join(', ')}` : ''}` }
})
