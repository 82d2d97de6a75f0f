/**
 * One minion goes down and up by turns while a submission that lasts needs it, as no other one has the label that its task
 * requires. No run of the task ever ends as failed.
 */
import { GROWN_BOUNDS, newId, runCase } from '../standins-3/deployment.mjs'
import { sleep } from '../standins-3/http.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Largest dose of srv_flap on tsw-duct-grown: a share of 0.1, a period of 1.4 s, for 6.5 s. */
const FLAP_PERIOD_MS = 1_400
const FLAP_FOR_MS = 6_500
const SOUND_FOR_MS = 5_000
/** How long the submission is watched afterwards; the minion stays up. */
const WATCHED_MS = 15_000

const KINDS = ['a', 'a', 'a', 'a', 'a', 'a', 'a', 'a', 'a', 'b']

await runCase(new URL('record.txt', import.meta.url), async deployment => {
  const { record, minions } = deployment
  await deployment.start({
    processes: 3,
    kinds: KINDS,
    bounds: GROWN_BOUNDS,
    routes: [
      { name: 'drafts', target_latency_ms: 1_000, priority: 2, max_attempts: 3, slack_factor: 2 },
      { name: 'watches', target_latency_ms: 2_500, priority: 0, max_attempts: 4, slack_factor: 2.2 }
    ]
  })
  const flapping = minions.at(-1)
  const watch = newId()
  const draft = newId()
  const submit = async (path, spec, step) => {
    const { status } = await deployment.request('POST', path, { spec: JSON.stringify(spec), steps: [{ cpu: 7_000, mem_mb: 13_000, requirements: 'b', ...step }] })
    if (status !== 200) throw new Error(`A submission was answered ${status}`)
  }
  await submit(`/watches/${watch}`, { cpu: 7_000 }, { count: 1, estimate_ms: 400, long_running: true })
  await submit(`/drafts/${draft}`, { cpu: 7_000, ms: 8_000 }, { count: 1, estimate_ms: 8_000 })
  await deployment.until('both tasks run', () => flapping.running.length === 2)
  // Both are seen to run without harm before the minion goes down for the first time.
  await sleep(SOUND_FOR_MS)
  if (HAS_TROUBLE) {
    const endsAt = deployment.now + FLAP_FOR_MS
    while (deployment.now < endsAt) {
      flapping.crash()
      await sleep(FLAP_PERIOD_MS / 2)
      await flapping.start()
      await sleep(FLAP_PERIOD_MS / 2)
    }
  } else await sleep(FLAP_FOR_MS)
  record('the minion stays up', { minion: flapping.id })
  const states = {}
  for (let second = 0; second < WATCHED_MS / 1_000; second++) {
    for (const path of [`/watches/${watch}`, `/drafts/${draft}`]) {
      const { status, body } = await deployment.request('GET', path)
      states[path.split('/')[1]] = status === 200 ? body.state : `status ${status}`
    }
    await sleep(1_000)
  }
  const failedEnds = deployment.events.filter(({ what, how }) => what === 'run ends' && how === 'failed').length
  const starts = deployment.events.filter(({ what }) => what === 'run starts').map(({ task }) => task.slice(0, 16))
  const count = id => starts.filter(other => other === id).length
  record('states at the end', { ...states, failedEnds, startsOfWatch: count(watch), startsOfDraft: count(draft), runningNow: flapping.running.map(({ task }) => task) })
  const wrong = Object.entries(states).filter(([, state]) => state === 'failed' || state === 'cancelled')
  return { broken: wrong.length > 0 && failedEnds === 0, why: `watch ${states.watches}, draft ${states.drafts}; ${failedEnds} runs ended as failed; ${count(watch)} and ${count(draft)} starts` }
})
