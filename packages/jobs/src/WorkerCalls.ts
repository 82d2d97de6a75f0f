/**
 * Interface of the calls to workers.
 */
import type { Attempt, AuburnpinError, Epoch, Result, WorkerId } from '@auburnpin/common'
import type { StartOutcome, TaskName, WorkerReport } from '@auburnpin/core'

/** Id and address of a worker. A different worker at the same address refuses the call. */
export type WorkerAddress = Readonly<{ id: WorkerId, address: string }>

/** Identifies one run of a task. */
export type RunName = Readonly<{ task: TaskName, attempt: Attempt }>

/** An order to start a run. `leaseEndMs` is a time on the worker's own clock. */
export type StartRequest = Readonly<RunName & { spec: string, checkpoint: string, leaseEndMs: number, epoch: Epoch }>

/** A worker's response to an order to start, with its clock if the response contains it. */
export type StartResponse = Readonly<{ outcome: StartOutcome, clockMs?: number }>

/** A request for a report. `leaseEndMs`, on the worker's own clock, extends its lease, which covers all its runs. */
export type ReportRequest = Readonly<{
  epoch: Epoch
  /** Sequence number of the last end that is durable at the owner; the worker may delete the ends up to this one. */
  acknowledgedEnd: number
  leaseEndMs?: number
  /** How long the worker may hold back the report until a run ends. */
  waitMs: number
}>

/** Client of the workers. A call that got no response may still be executed seconds later. */
export abstract class WorkerCalls {
  abstract start (worker: WorkerAddress, request: StartRequest): Promise<StartResponse>
  /** `taken` means that the run has ended or is about to, and that it never starts again on this worker. */
  abstract stop (worker: WorkerAddress, run: RunName, epoch: Epoch): Promise<'taken' | 'fenced' | 'failed'>
  /** Limits a run to a percentage of its full speed, 0 to 100. */
  abstract pace (worker: WorkerAddress, run: RunName, percent: number, epoch: Epoch): Promise<'taken' | 'fenced' | 'failed'>
  /** Errors: `fenced` if the worker has accepted an order or request of a later owner. */
  abstract report (worker: WorkerAddress, request: ReportRequest): Promise<Result<WorkerReport, AuburnpinError>>
}
