/**
 * Logs and measures all tasks that wait, and the jobs without a run among theirs.
 */
import type { CellId, Instant } from '@auburnpin/common'
import { STEP_KINDS, summariseBacklog, type BacklogGroup, type JobScheduler, type KindBacklog } from '@auburnpin/core'
import { obstacleFields } from './obstacleFields.ts'
import type { OwnerPorts } from './OwnerPorts.ts'

const MS_PER_SECOND = 1_000
/** A backlog that takes less time to start is not written. */
const MIN_REPORTED_DRAIN_MS = 1_000

/**
 * Writes one record for each kind of task and each timeliness of jobs of which tasks wait, at most nine in all, and one for
 * each kind and priority whose accepted work takes a second or more to start; updates the gauges of idle jobs and of that time.
 *
 * @example
 * const reporter = new BacklogReporter(ports, scheduler, cell)
 * reporter.report(now)
 * reporter.stop()
 */
export class BacklogReporter {
  readonly #ports: Pick<OwnerPorts, 'clock' | 'log' | 'metrics'>
  readonly #scheduler: JobScheduler
  readonly #cell: CellId
  #drainingKinds: readonly string[] = []

  constructor (ports: Pick<OwnerPorts, 'clock' | 'log' | 'metrics'>, scheduler: JobScheduler, cell: CellId) {
    this.#cell = cell
    this.#ports = ports
    this.#scheduler = scheduler
  }

  report (now: Instant): void {
    const groups = summariseBacklog(this.#scheduler, now, this.#ports.clock.wallTime())
    for (const group of groups) this.#write(group)
    this.#gauge(groups)
    this.#reportDrain(this.#scheduler.forecast?.backlog.kinds ?? new Map())
  }

  stop (): void {
    this.#gauge([])
    this.#reportDrain(new Map())
  }

  #reportDrain (kinds: ReadonlyMap<string, KindBacklog>): void {
    for (const kind of this.#drainingKinds) if (!kinds.has(kind)) this.#ports.metrics.gauge('tasks.drainTime', 0, { cell: this.#cell, kind })
    this.#drainingKinds = [...kinds.keys()]
    for (const [kind, backlogs] of kinds) {
      this.#ports.metrics.gauge('tasks.drainTime', (backlogs.at(-1)?.drainMs ?? 0) / MS_PER_SECOND, { cell: this.#cell, kind })
      for (const backlog of backlogs) if (backlog.drainMs >= MIN_REPORTED_DRAIN_MS) this.#ports.log.info('Accepted work waits', { cell: this.#cell, kind, ...backlog })
    }
  }

  #gauge (groups: readonly BacklogGroup[]): void {
    for (const kind of STEP_KINDS) {
      const ofKind = groups.filter(group => group.kind === kind)
      this.#ports.metrics.gauge('jobs.idle', ofKind.reduce((sum, { idleJobs }) => sum + idleJobs, 0), { kind })
      this.#ports.metrics.gauge('jobs.longestIdle', Math.max(0, ...ofKind.map(({ longestIdleMs }) => longestIdleMs)) / MS_PER_SECOND, { kind })
    }
  }

  #write ({ kind, timeliness, jobs, steps, tasks, processors, oldestMs, idleJobs, longestIdleMs, longestIdle }: BacklogGroup): void {
    this.#ports.log.info('Tasks that wait', {
      kind,
      timeliness,
      jobs,
      steps,
      tasks,
      processors,
      oldestMs: Math.round(oldestMs),
      idleJobs,
      longestIdleMs: Math.round(longestIdleMs),
      ...(longestIdle === undefined ? {} : { longestIdle: `${longestIdle.step.job.job.id}.${longestIdle.step.key}`, ...obstacleFields(longestIdle.obstacles) })
    })
  }
}
