/**
 * Port for what a process has used of its VM.
 */

/** Times since the start of the process, in milliseconds. Garbage collection is a part of the processor time. */
export type UsedTime = Readonly<{ processorMs: number, garbageCollectionMs: number }>

/** Measures the processor time of this process. */
export abstract class ProcessUsage {
  abstract read (): UsedTime
}
