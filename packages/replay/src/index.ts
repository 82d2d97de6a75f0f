/**
 * Replays traces against stated outcomes.
 */
export { Trace } from './Trace.ts'
export { traceLineSchema, type TraceLine } from './traceSchema.ts'
export { Replay, type PolicyMaker } from './Replay.ts'
export { POLICIES, POLICY_NAMES, type PolicyName } from './policies.ts'
export { checkOutcomes } from './checkOutcomes.ts'
export { SUMMARY_MEASURES, type Miss, type Summary, type SummaryMeasure } from './Summary.ts'
