/**
 * What a replay measured.
 */

/** Measures that a trace may state outcomes for. Ratios are answer times over the service's objective. */
export const SUMMARY_MEASURES = [
  'ratioP50', 'ratioP99', 'ratioP999', 'shareOverObjective', 'tasksFinished', 'tasksFailed', 'tasksCancelled', 'tasksWaiting', 'tasksUnrunnable',
  'coresUseful', 'evictions', 'evictionsForServices', 'evictionsForUrgent', 'throttles', 'workLostCoreSeconds',
  'urgentStartP99Ms', 'urgentNotStarted', 'quotaError', 'brokenInvariants'
] as const

/** One measure. */
export type SummaryMeasure = typeof SUMMARY_MEASURES[number]

/** All measures of one replay. */
export type Summary = Readonly<Record<SummaryMeasure, number>>

/** A stated outcome that was not met. */
export type Miss = Readonly<{ measure: SummaryMeasure, value: number, atMost?: number, atLeast?: number }>
