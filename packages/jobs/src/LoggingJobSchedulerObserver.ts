/**
 * Logs and counts the changes of state that the job scheduler reports.
 */
import type { Attempt, WorkerId } from '@auburnpin/common'
import { JobSchedulerObserver, type JobRecord, type Lateness, type RunRecord, type TaskRecord, type WorkerRecord } from '@auburnpin/core'
import type { OwnerPorts } from './OwnerPorts.ts'

const MAX_LOGGED_SUSPECTS = 20

/** Writes one log record for each change of a run, of a job's phase or of a worker's quarantine. */
export class LoggingJobSchedulerObserver extends JobSchedulerObserver {
  readonly #ports: OwnerPorts

  constructor (ports: OwnerPorts) {
    super()
    this.#ports = ports
  }

  runEnded (run: RunRecord, how: string, worker: WorkerId): void {
    const { log, metrics, clock } = this.#ports
    metrics.count('runs.ended', 1, { how })
    if (run.isCopy) metrics.count('copies.ended', 1, { how })
    // Records of one message are limited per second, and those of short tasks would suppress the few of long-running ones.
    const message = run.task.step.shape.isLasting ? 'Run of a long-running task ended' : 'Run ended'
    // How long ago the lease ended, as far as this owner knew, tells whether it knew of the lease that the worker held.
    const leaseOverForMs = how === 'lease over' ? Math.round(clock.now() - run.worker.leaseExpiresAt) : undefined
    log.info(message, { task: run.task.name, attempt: run.attempt, worker, how, failures: run.task.failedAttempts.length, leaseOverForMs })
  }

  copyStarted ({ task, attempt, worker }: RunRecord, { run, reason, remainingMs, totalMs, learnt }: Lateness): void {
    const { log, metrics } = this.#ports
    metrics.count('copies.started', 1, { reason })
    log.info('Late run gets a copy', {
      task: task.name,
      attempt,
      worker: worker.entry.id,
      reason,
      lateAttempt: run.attempt,
      lateWorker: run.worker.entry.id,
      progressPercent: run.progressPercent,
      remainingMs: Math.round(remainingMs),
      totalMs: Math.round(totalMs),
      medianMs: Math.round(learnt.medianMs),
      highMs: Math.round(learnt.highMs),
      estimateMs: task.step.shape.estimateMs
    })
  }

  runStalled (run: RunRecord, worker: WorkerId): void {
    this.#ports.log.warn('Run makes no progress and is moved to another worker', { task: run.task.name, attempt: run.attempt, worker, progressPercent: run.progressPercent, moves: run.task.moves })
  }

  phaseChanged (record: JobRecord): void {
    const { job, phase } = record
    const { log, metrics, clock } = this.#ports
    const ageMs = clock.wallTime() - job.acceptedAt
    if (phase === 'active') metrics.timing('jobs.firstStart', ageMs)
    else {
      metrics.count('jobs.ended', 1, { phase })
      metrics.timing('jobs.duration', ageMs, { phase })
    }
    // Above 0 after the objective; the age of phase `active` tells whether the job waited for its first start.
    const lateMs = phase === 'completed' && job.occurrences === 0 ? Math.round(clock.wallTime() - record.objectiveAt(0)) : undefined
    log.info('Job changed', { job: job.id, queue: job.queue, phase, ageMs, lateMs })
  }

  workerQuarantined (worker: WorkerId, why: string): void {
    this.#ports.log.warn('Worker is quarantined', { worker, why })
  }

  workerLost (worker: WorkerId, how: string, suspects: readonly TaskRecord[]): void {
    const { log, metrics } = this.#ports
    metrics.count('workers.lost', 1, { how })
    // Each with the number of workers that were lost under it.
    const crashes = suspects.slice(0, MAX_LOGGED_SUSPECTS).map(task => `${task.name}:${task.crashes.count}`)
    log.warn('Worker was lost with its runs', { worker, how, suspects: suspects.length, crashes: crashes.join(' ') })
  }

  workerReborn (current: WorkerRecord, earlier: WorkerRecord): void {
    const { log, metrics, clock } = this.#ports
    const now = clock.now()
    const unansweredForMs = now - earlier.leaseCalls.lastSentAt
    metrics.count('workers.reborn', 1, { hasUnansweredLease: String(Number.isFinite(unansweredForMs)) })
    log.warn('Worker is reborn', {
      worker: current.entry.id,
      incarnation: current.entry.incarnation,
      earlierIncarnation: earlier.entry.incarnation,
      keptRuns: current.runs.size,
      unansweredForMs: Number.isFinite(unansweredForMs) ? Math.round(unansweredForMs) : undefined,
      leaseOverInMs: Math.round(current.leaseExpiresAt - now)
    })
  }

  runInherited ({ task, attempt, worker, sentAt }: RunRecord): void {
    const { log, clock } = this.#ports
    log.warn('A start for an earlier incarnation was carried out', { task: task.name, attempt, worker: worker.entry.id, incarnation: worker.entry.incarnation, sentForMs: sentAt === undefined ? undefined : Math.round(clock.now() - sentAt) })
  }

  taskHeldBack ({ name, lastEnd }: TaskRecord, worker: WorkerId, attempt: Attempt): void {
    this.#ports.log.info('Task held back, as an order to start it may still be carried out', { task: name, attempt, worker, lastEnding: lastEnd?.ending })
  }

  taskGivenUp ({ name, step: { job: { job } }, crashes }: TaskRecord): void {
    const { log, metrics } = this.#ports
    metrics.count('jobs.crashing')
    log.error('Job fails, as workers are lost whenever they start one of its tasks', { job: job.id, queue: job.queue, task: name, crashes: crashes.count, workers: crashes.runsToStore.map(({ worker }) => worker.id).join(' ') })
  }
}
