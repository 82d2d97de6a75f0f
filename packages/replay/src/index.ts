/**
 * Replays traces of a region under a policy and checks the outcomes that they state.
 */
export { Trace } from './Trace.ts'
export { traceLineSchema, type TraceLine } from './traceSchema.ts'
export { Replay, type PolicyFactory } from './Replay.ts'
export { POLICIES, POLICY_NAMES, type PolicyName } from './policies.ts'
export { checkOutcomes } from './checkOutcomes.ts'
export { SUMMARY_MEASURES, type MissedOutcome, type Summary, type SummaryMeasure } from './Summary.ts'
