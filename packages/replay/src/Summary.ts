/**
 * Results of a replay.
 */

/** Measures for which a trace can state outcomes. The ratios are latency ratios: response time over the service's objective. */
export const SUMMARY_MEASURES = [
  'ratioP50', 'ratioP99', 'ratioP999', 'shareOverObjective', 'tasksFinished', 'tasksFailed', 'tasksCancelled', 'tasksWaiting', 'tasksUnrunnable',
  'coresUseful', 'evictions', 'evictionsForServices', 'evictionsForUrgent', 'throttles', 'workLostCoreSeconds',
  'urgentStartP99Ms', 'urgentNotStarted', 'quotaError', 'brokenInvariants'
] as const

/** Name of a measure. */
export type SummaryMeasure = typeof SUMMARY_MEASURES[number]

/** All measures of one replay. */
export type Summary = Readonly<Record<SummaryMeasure, number>>

/** A stated outcome that was not met. */
export type MissedOutcome = Readonly<{ measure: SummaryMeasure, value: number, atMost?: number, atLeast?: number }>
