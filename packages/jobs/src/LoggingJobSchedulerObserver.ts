/**
 * Logs and counts the changes of state that the job scheduler reports.
 */
import type { WorkerId } from '@auburnpin/common'
import { JobSchedulerObserver, type JobRecord, type RunRecord } from '@auburnpin/core'
import type { OwnerPorts } from './OwnerPorts.ts'

/** Writes one log record for each change of a run, of a job's phase or of a worker's quarantine. */
export class LoggingJobSchedulerObserver extends JobSchedulerObserver {
  readonly #ports: OwnerPorts

  constructor (ports: OwnerPorts) {
    super()
    this.#ports = ports
  }

  runEnded (run: RunRecord, how: string, worker: WorkerId): void {
    const { log, metrics } = this.#ports
    metrics.count('runs.ended', 1, { how })
    // Records of one message are limited per second, and those of short tasks would suppress the few of long-running ones.
    const message = run.task.step.shape.isLasting ? 'Run of a long-running task ended' : 'Run ended'
    log.info(message, { task: run.task.name, attempt: run.attempt, worker, how, failures: run.task.failedAttempts.length })
  }

  runStalled (run: RunRecord, worker: WorkerId): void {
    this.#ports.log.warn('Run makes no progress and is moved to another worker', { task: run.task.name, attempt: run.attempt, worker, progressPercent: run.progressPercent, moves: run.task.moves })
  }

  phaseChanged ({ job, phase }: JobRecord): void {
    const { log, metrics, clock } = this.#ports
    const ageMs = clock.wallTime() - job.acceptedAt
    if (phase === 'active') metrics.timing('jobs.firstStart', ageMs)
    else {
      metrics.count('jobs.ended', 1, { phase })
      metrics.timing('jobs.duration', ageMs, { phase })
    }
    log.info('Job changed', { job: job.id, queue: job.queue, phase, ageMs })
  }

  workerQuarantined (worker: WorkerId, why: string): void {
    this.#ports.log.warn('Worker is quarantined', { worker, why })
  }
}
