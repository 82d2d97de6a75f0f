/**
 * The product's policy and the baselines that it is compared with, by name.
 */
import type { Random } from '@auburnpin/common'
import { ColocationPolicy, DEFAULT_COLOCATION, LearntInterference, NoInterference, UniformInterference, type ColocationSettings, type InterferenceModel } from '@auburnpin/core'
import { OracleInterference } from './OracleInterference.ts'
import type { PolicyFactory } from './Replay.ts'

const withModel = (createModel: () => InterferenceModel): PolicyFactory => (_groundTruth, random, cellCount) =>
  new ColocationPolicy(createModel(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cellCount })

const withLearntModel = (changes: Partial<ColocationSettings>): PolicyFactory => (_groundTruth, random, cellCount) =>
  new ColocationPolicy(new LearntInterference(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cellCount, ...changes })

const withoutModel = (changes: Partial<ColocationSettings>): PolicyFactory => (_groundTruth, random: Random, cellCount) =>
  new ColocationPolicy(new NoInterference(), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cellCount, throttles: false, evicts: false, ...changes })

const oracle: PolicyFactory = (groundTruth, random, cellCount) =>
  new ColocationPolicy(new OracleInterference(groundTruth), random, { ...DEFAULT_COLOCATION, quotaShare: 1 / cellCount })

/** All policies; they share order, quotas and fairness, and differ in placement and mitigation. */
export const POLICIES = {
  auburnpin: withLearntModel({}),
  oracle,
  'first-fit': withoutModel({ rule: 'first-fit' }),
  'best-fit': withoutModel({ rule: 'best-fit' }),
  'no-throttling': withLearntModel({ throttles: false }),
  'no-eviction': withLearntModel({ evicts: false }),
  'no-learning': withModel(() => new UniformInterference()),
  'no-load-bands': withModel(() => new LearntInterference([])),
  'no-lag-wait': withLearntModel({ awaitsEffect: false })
} as const satisfies Record<string, PolicyFactory>

/** Name of a policy. */
export type PolicyName = keyof typeof POLICIES

/** The names, the product's own policy first. */
export const POLICY_NAMES = Object.keys(POLICIES) as PolicyName[]
