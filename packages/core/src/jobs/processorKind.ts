/**
 * What a task competes for: the processors of a service, or what its other tasks leave unused.
 */
import type { JobStep, QueuePolicy } from './types.ts'

/**
 * Equal for steps whose tasks compete for the same processors.
 *
 * @example
 * processorKind(step.shape, job.policy) // 'filler desk'
 */
export const processorKind = ({ isFiller }: Pick<JobStep, 'isFiller'>, { service }: Pick<QueuePolicy, 'service'>): string => `${isFiller ? 'filler' : 'batch'} ${service}`
