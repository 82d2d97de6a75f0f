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
