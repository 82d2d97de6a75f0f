import test from 'ava'
import { AdmissionLoad, type LoadPlan } from './support/AdmissionLoad.ts'

const PLAN: LoadPlan = { seed: 1, workers: 12, durationMs: 30_000, factorAt: () => 3, isAdmissionOn: true, estimateError: 0.35, fillerShare: 0.5 }

const run = async (plan: Partial<LoadPlan>): Promise<AdmissionLoad> => {
  const load = new AdmissionLoad({ ...PLAN, ...plan })
  await load.run()
  return load
}

// Guards against refusals that cost callers results, and against accepted jobs that only wait until they are useless.
test('at three times the load for 30 s, refusals give more useful ends, and fewer accepted jobs end too late', async t => {
  for (const seed of [1, 2, 3]) {
    const refusing = await run({ seed })
    const accepting = await run({ seed, isAdmissionOn: false })
    const fates = refusing.fates()
    const before = accepting.fates()
    t.true(fates['in time'] + fates.late >= before['in time'] + before.late, `${seed}: ${JSON.stringify([fates, before])}`)
    t.true(fates['in time'] > before['in time'])
    t.true(fates.useless + fates.running < 0.6 * (before.useless + before.running))
    t.is(refusing.fates('urgent').refused, 0)
    t.deepEqual(refusing.simulation.breaches, [])
  }
})

/** Long enough for some 16 large jobs, so that the share doesn't vary much by chance; refusals that oscillate would do so over 4 s and more. */
const WINDOW_MS = 2_000

/** The share of the large jobs sent in each window from `fromMs` to `toMs` that were refused at once. */
const sharesOf = ({ submissions, refusals }: AdmissionLoad, fromMs: number, toMs: number): number[] => {
  const refusedAtOnce = new Set(refusals.filter(({ at, id }) => at - submissions.get(id)!.sentAt < 500).map(({ id }) => id))
  const startedAt = submissions.values().next().value!.sentAt
  const shares: number[] = []
  for (let from = fromMs; from < toMs; from += WINDOW_MS) {
    const sent = [...submissions.values()].filter(({ job, sentAt }) => job.queue === 'large' && sentAt - startedAt >= from && sentAt - startedAt < from + WINDOW_MS)
    shares.push(sent.filter(({ job }) => refusedAtOnce.has(job.id)).length / Math.max(1, sent.length))
  }
  return shares
}

/** How often a share falls from at least three quarters to at most a quarter. */
const countFalls = (shares: readonly number[]): number => {
  let falls = 0
  let isHigh = false
  for (const share of shares) {
    if (isHigh && share <= 0.25) falls++
    if (share >= 0.75) isHigh = true
    else if (share <= 0.25) isHigh = false
  }
  return falls
}

// Guards against refusals that swing between most and few of the jobs while the load stays the same.
test('under a square wave of load, refusals last as long as the overload and do not oscillate within it', async t => {
  for (const seed of [1, 2, 3]) {
    const load = await run({ seed, workers: 24, durationMs: 40_000, factorAt: atMs => atMs % 20_000 < 10_000 ? 3 : 0.2 })
    for (const phase of [0, 20_000]) {
      const shares = sharesOf(load, phase, phase + 10_000)
      t.is(countFalls(shares), 0, `${seed}: ${shares.join(' ')}`)
      t.true(Math.max(...shares.slice(2)) >= 0.5, `${seed}: ${shares.join(' ')}`)
    }
    const { refusals } = load
    t.is(refusals.filter(({ queue }) => queue === 'urgent').length, 0)
    // No worker is idle while jobs are refused, but a forecast is up to a second old.
    t.true(refusals.length > 10 && refusals.filter(({ idleWorkers }) => idleWorkers > 0).length <= 0.02 * refusals.length)
  }
})

test('under a lasting overload, refusals do not oscillate', async t => {
  for (const seed of [1, 2, 3]) {
    const shares = sharesOf(await run({ seed, workers: 24, durationMs: 40_000 }), 0, 40_000)
    t.is(countFalls(shares), 0, `${seed}: ${shares.join(' ')}`)
  }
})

// Guards against a change of behaviour where admission control is off.
test('without the setting, nothing is published and nothing is refused', async t => {
  const load = await run({ seed: 1, durationMs: 5_000, isAdmissionOn: false })
  t.false(load.simulation.rows.read('terms', 'cell-0', 'term')!.value.includes('waits'))
  t.is(load.fates().refused, 0)
})
