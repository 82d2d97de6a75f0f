/**
 * What happened on a long day, as its checks read it.
 */
import type { JobId } from '@auburnpin/common'
import type { JobStep } from '@auburnpin/core'
import type { WorkerEvent } from '@auburnpin/fakes'

/** A submitted job; `Infinity` for what never happened. Each task of a step runs for the step's `runsMs`. */
export type DayJob = Readonly<{ id: JobId, steps: readonly JobStep[], runsMs: readonly number[], objectiveMs: number, acceptedAt: number, cancelledAt: number, isCompleted: boolean }>

/** What a worker offers from `at` on, in thousandths of a core: nothing while it is down, leaving, not listed or out of reach of a process. */
export type Offer = Readonly<{ worker: string, at: number, processors: number }>

/** A whole day. Times are in milliseconds of the virtual clock. */
export type LongDayRecord = Readonly<{
  jobs: readonly DayJob[]
  offers: readonly Offer[]
  events: readonly WorkerEvent[]
  trafficEndsAt: number
  endedAt: number
}>
