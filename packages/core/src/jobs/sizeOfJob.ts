/**
 * Size of a job.
 */
import type { JobRecord } from './JobRecord.ts'

const MILLICORES = 1_000

/**
 * The processor time of one occurrence of a job, in core-milliseconds by the client's estimates.
 *
 * @example
 * sizeOfJob(record) // 221_578
 */
export const sizeOfJob = ({ totalWork }: JobRecord): number => totalWork / MILLICORES
