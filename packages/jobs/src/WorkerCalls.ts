/**
 * Calls to workers.
 */
import type { Attempt, AuburnpinError, Epoch, Result, WorkerId } from '@auburnpin/common'
import type { StartOutcome, TaskName, WorkerReport } from '@auburnpin/core'

/** The worker that is meant; another one at the same address refuses. */
export type WorkerAddress = Readonly<{ id: WorkerId, address: string }>

/** One run of a task. */
export type RunName = Readonly<{ task: TaskName, attempt: Attempt }>

/** An order to start; `leaseEndMs` is a time on the worker's own clock. */
export type StartCall = Readonly<RunName & { spec: string, checkpoint: string, leaseEndMs: number, epoch: Epoch }>

/** What a worker said to an order to start, with its clock if it told it. */
export type StartAnswer = Readonly<{ outcome: StartOutcome, clockMs?: number }>

/** A question for a report; `leaseEndMs` extends the lease of all that runs there. */
export type ReportCall = Readonly<{
  epoch: Epoch
  /** The worker forgets the ends up to this one. */
  seenEnd: number
  leaseEndMs?: number
  /** How long the answer may wait for a run to end. */
  waitMs: number
}>

/** Client of the workers. A call without an answer may be carried out seconds later. */
export abstract class WorkerCalls {
  abstract start (worker: WorkerAddress, call: StartCall): Promise<StartAnswer>
  /** `taken` means that the run has ended or will, and never starts again there. */
  abstract stop (worker: WorkerAddress, run: RunName, epoch: Epoch): Promise<'taken' | 'fenced' | 'failed'>
  /** Sets the share of its pace that a run may work at, 0 to 100. */
  abstract pace (worker: WorkerAddress, run: RunName, percent: number, epoch: Epoch): Promise<'taken' | 'fenced' | 'failed'>
  /** Errors: `fenced` if a later owner has ordered there. */
  abstract report (worker: WorkerAddress, call: ReportCall): Promise<Result<WorkerReport, AuburnpinError>>
}
