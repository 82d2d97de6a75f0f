/**
 * Logs and counts the decisions to wait for a rack.
 */
import { DelayObserver, type AwayReason, type DelayDecision, type StepRecord } from '@auburnpin/core'
import type { OwnerPorts } from './OwnerPorts.ts'

/** Writes one record when tasks of a step begin to wait for a rack, and one when the first of them start elsewhere, each with what decided it. */
export class LoggingDelayObserver extends DelayObserver {
  readonly #ports: OwnerPorts

  constructor (ports: OwnerPorts) {
    super()
    this.#ports = ports
  }

  delayed (decision: DelayDecision): void {
    this.#ports.metrics.count('tasks.rackDecisions', 1, { decision: 'delayed' })
    this.#ports.log.info('Tasks wait for a rack', fieldsOf(decision))
  }

  startedAway (decision: DelayDecision, reason: AwayReason): void {
    this.#ports.metrics.count('tasks.rackDecisions', 1, { decision: reason })
    this.#ports.log.info('Tasks start away from their rack', { ...fieldsOf(decision), reason })
  }

  delayEnded (_step: StepRecord, waitedMs: number): void {
    this.#ports.metrics.timing('tasks.rackWait', waitedMs)
  }
}

const fieldsOf = ({ step, rack, workers, delayed, away, longestWaitMs, expectedWaitMs, addedMs, slackMs, waitedMs, demand = 0, freeShare }: DelayDecision): Readonly<Record<string, string | number>> => ({
  step: `${step.job.job.id}.${step.key}`,
  rack,
  workers,
  delayed,
  away,
  expectedWaitMs: Math.round(expectedWaitMs),
  longestWaitMs: Math.round(longestWaitMs),
  addedMs: Math.round(addedMs),
  slackMs: Math.round(slackMs),
  waitedMs: Math.round(waitedMs),
  demandPercent: Math.round(100 * demand),
  freePercent: Math.round(100 * freeShare)
})
