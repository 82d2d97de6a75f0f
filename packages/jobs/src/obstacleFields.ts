/**
 * Log fields that say what keeps a task from the workers.
 */
import type { WorkerObstacles } from '@auburnpin/core'

/**
 * The number of workers by obstacle, and the free processors, in thousandths of a core.
 *
 * @example
 * log.info('Tasks wait for a worker', { ...obstacleFields(obstacles) }) // obstacles=processors:29 label:4 free=12400 largestFree=5300
 */
export const obstacleFields = ({ counts, free, largestFree }: WorkerObstacles): Readonly<{ obstacles: string, free: number, largestFree: number }> =>
  ({ obstacles: [...counts].map(([obstacle, count]) => `${obstacle}:${count}`).join(' '), free, largestFree })
