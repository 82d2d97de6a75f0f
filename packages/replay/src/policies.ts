/**
 * The policy and what it is measured against, by name.
 */
import type { Random } from '@auburnpin/common'
import { ColocationPolicy, DEFAULT_COLOCATION, LearntInterference, NoInterference, UniformInterference, type ColocationSettings, type InterferenceModel } from '@auburnpin/core'
import { OracleInterference } from './OracleInterference.ts'
import type { PolicyMaker } from './Replay.ts'

const modelled = (newModel: () => InterferenceModel): PolicyMaker => (_table, random, cells) =>
  new ColocationPolicy(newModel(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cells })

const learning = (changes: Partial<ColocationSettings>): PolicyMaker => (_table, random, cells) =>
  new ColocationPolicy(new LearntInterference(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cells, ...changes })

const unaware = (changes: Partial<ColocationSettings>): PolicyMaker => (_table, random: Random, cells) =>
  new ColocationPolicy(new NoInterference(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cells, throttles: false, evicts: false, ...changes })

const oracle: PolicyMaker = (table, random, cells) =>
  new ColocationPolicy(new OracleInterference(table), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cells })

/** All policies; they share order, quotas and fairness, and differ in placement and relief. */
export const POLICIES = {
  auburnpin: learning({}),
  oracle,
  'first-fit': unaware({ rule: 'first-fit' }),
  'best-fit': unaware({ rule: 'best-fit' }),
  'no-throttling': learning({ throttles: false }),
  'no-eviction': learning({ evicts: false }),
  'no-learning': modelled(() => new UniformInterference()),
  'no-load-bands': modelled(() => new LearntInterference([])),
  'no-lag-wait': learning({ waitsOutLag: false })
} as const satisfies Record<string, PolicyMaker>

/** Name of a policy. */
export type PolicyName = keyof typeof POLICIES

/** The names, the product's own policy first. */
export const POLICY_NAMES = Object.keys(POLICIES) as PolicyName[]
