/**
 * Creation of the scheduler of a term.
 */
import { AdmissionForecast, DelayScheduling, JobScheduler, PayingWait, WaitForecast } from '@auburnpin/core'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { WORKER_LEASE_MS } from './constants.ts'
import { LoggingDelayObserver } from './LoggingDelayObserver.ts'
import { LoggingJobSchedulerObserver } from './LoggingJobSchedulerObserver.ts'
import type { OwnerPorts } from './OwnerPorts.ts'

/**
 * Creates the scheduler of a term, with observers that log and count its decisions, and with what the process
 * publishes for the admission of jobs.
 *
 * @example
 * const scheduler = createScheduler(ports, claimed)
 */
export const createScheduler = (ports: OwnerPorts, { term, earlierTermOverAt }: ClaimedTerm): JobScheduler => {
  const delays = new DelayScheduling(ports.remoteFactor, new PayingWait(), new LoggingDelayObserver(ports))
  const scheduler = new JobScheduler(term.epoch, { leaseMs: WORKER_LEASE_MS }, earlierTermOverAt, new LoggingJobSchedulerObserver(ports), { delays, maxReservedShare: ports.maxReservedShare })
  if (ports.admission !== 'off') scheduler.forecast = new AdmissionForecast(ports.admission === 'waits' ? new WaitForecast() : undefined)
  return scheduler
}
