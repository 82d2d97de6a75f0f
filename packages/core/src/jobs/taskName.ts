/**
 * Names of tasks: `JOB.OCCURRENCE.STEP.INDEX`.
 */
import { brand, type JobId } from '@auburnpin/common'
import type { TaskName } from './types.ts'

/** The parts of a task's name. */
export type TaskNameParts = Readonly<{ job: JobId, occurrence: number, step: number, index: number }>

const PART_COUNT = 4

/**
 * Formats a task's name.
 *
 * @example
 * nameTask({ job, occurrence: 0, step: 1, index: 17 }) // '5c0e7a21d94b36f8.0.1.17'
 */
export const nameTask = ({ job, occurrence, step, index }: TaskNameParts): TaskName =>
  brand<TaskName>(`${job}.${occurrence}.${step}.${index}`)

/**
 * Parses a task's name; `undefined` if it is malformed.
 *
 * @example
 * parseTaskName('5c0e7a21d94b36f8.0.1.17')?.step // 1
 */
export const parseTaskName = (name: string): TaskNameParts | undefined => {
  const parts = name.split('.')
  if (parts.length !== PART_COUNT) return undefined
  const [job, occurrence, step, index] = parts as [string, string, string, string]
  const numbers = [Number(occurrence), Number(step), Number(index)]
  if (numbers.some(value => !Number.isInteger(value) || value < 0)) return undefined
  return { job: brand<JobId>(job), occurrence: numbers[0] as number, step: numbers[1] as number, index: numbers[2] as number }
}
