/**
 * Creates the job scheduler of one term.
 */
import { JobScheduler, WaitForecast } from '@auburnpin/core'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { WORKER_LEASE_MS } from './constants.ts'
import { LoggingJobSchedulerObserver } from './LoggingJobSchedulerObserver.ts'
import type { OwnerPorts } from './OwnerPorts.ts'

/**
 * Creates a scheduler whose decisions are logged, with a forecast of waits if the process publishes one.
 *
 * @example
 * const scheduler = createScheduler(ports, claimed)
 */
export const createScheduler = (ports: OwnerPorts, { term, earlierTermOverAt }: ClaimedTerm): JobScheduler => {
  const scheduler = new JobScheduler(term.epoch, { leaseMs: WORKER_LEASE_MS }, earlierTermOverAt, new LoggingJobSchedulerObserver(ports))
  if (ports.areWaitsPublished === true) scheduler.forecast = new WaitForecast()
  return scheduler
}
