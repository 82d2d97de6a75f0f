/**
 * Processor time of one task, by the client's estimate.
 */
import type { JobStep } from './types.ts'

/** Assumed duration of a task in milliseconds if the client gave no estimate. */
const DEFAULT_ESTIMATE_MS = 1_000

/** Milliseconds of work counted for a long-running task; it has no end, and must not be placed before tasks that end soon. */
const LONG_RUNNING_WORK_MS = 10_000

/**
 * The expected duration of one task of a step, in milliseconds.
 *
 * @example
 * expectedMs(step.shape) // 2_200
 */
export const expectedMs = ({ estimateMs }: JobStep): number => estimateMs > 0 ? estimateMs : DEFAULT_ESTIMATE_MS

/**
 * The processor time of one task of a step, in thousandths of a core times milliseconds.
 *
 * @example
 * taskWork(step.shape) // 7_000 * 2_200
 */
export const taskWork = (shape: JobStep): number => shape.processors * (shape.isLasting ? LONG_RUNNING_WORK_MS : expectedMs(shape))
