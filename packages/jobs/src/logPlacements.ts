/**
 * Records of the tasks that a scheduling pass starts.
 */
import type { Epoch, Log } from '@auburnpin/common'
import type { RunOrder } from '@auburnpin/core'

/**
 * Writes one record for each step, as under load a pass starts many tasks of a step. Long-running tasks have a message of
 * their own, since the records of one message are limited per second.
 *
 * @example
 * logPlacements(scheduler.decide(now, wallTime), epoch, log)
 */
export const logPlacements = (orders: readonly RunOrder[], epoch: Epoch, log: Log): void => {
  const placementsOfStep = new Map<string, { message: string, runs: string[] }>()
  for (const order of orders) {
    if (order.kind !== 'start') continue
    const step = order.task.slice(0, order.task.lastIndexOf('.'))
    const placements = placementsOfStep.get(step) ?? { message: order.isLongRunning ? 'Long-running tasks placed' : 'Tasks placed', runs: [] }
    placements.runs.push(`${order.task.slice(step.length + 1)}#${order.attempt}@${order.worker}`)
    placementsOfStep.set(step, placements)
  }
  for (const [step, { message, runs }] of placementsOfStep) log.info(message, { step, epoch, count: runs.length, runs: runs.join(' ') })
}
