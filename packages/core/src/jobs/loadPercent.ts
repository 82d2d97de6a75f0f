/**
 * Load of the workers of a cell.
 */
import type { StepRecord } from './StepRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Processors of all listed workers outside evacuated data centres, in thousandths of a core.
 *
 * @example
 * availableProcessors(workers.values()) // 128_000
 */
export const availableProcessors = (workers: Iterable<WorkerRecord>): number => {
  let available = 0
  for (const { isListed, evacuation, entry } of workers) if (isListed && evacuation !== 'evacuated') available += entry.processors
  return available
}

/**
 * Processors that running and waiting tasks need, as a percentage of those of all listed workers; 0 without workers.
 * Workers in evacuated data centres and what runs there don't count, as they have nothing to offer to waiting tasks.
 *
 * @example
 * loadPercent([...workers.values()], openSteps) // 84
 */
export const loadPercent = (workers: Iterable<WorkerRecord>, openSteps: Iterable<StepRecord>): number => {
  let available = 0
  let needed = 0
  for (const worker of workers) {
    if (worker.evacuation === 'evacuated') continue
    if (worker.isListed) available += worker.entry.processors
    needed += worker.processorsUsed
    for (const { task: { step: { shape } } } of worker.runs.values()) if (shape.isFiller) needed += shape.processors
  }
  for (const { waiting, shape } of openSteps) needed += waiting.size * shape.processors
  return available === 0 ? 0 : Math.round(100 * needed / available)
}
