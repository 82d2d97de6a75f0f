/**
 * The interface of the worker on a VM.
 */
import type { Attempt, AuburnpinError, Epoch, LeaseSession, Result, TaskId } from '@auburnpin/common'
import type { TaskStart, UsageSample, WorkerResponse, WorkerLease, WorkerReport, WorkerTask } from './types.ts'

/** Identifies one attempt, with the lease session and epoch that authorise requests for it. */
export type AttemptReference = Readonly<{ id: TaskId, attempt: Attempt, leaseSession: LeaseSession, epoch: Epoch }>

/** Runs tasks under a lease. Errors: `unknown-outcome` if the call may have taken effect. */
export abstract class Worker {
  /** Opens a lease session or renews the lease. */
  abstract lease (lease: WorkerLease): Promise<Result<WorkerResponse<WorkerLease>, AuburnpinError>>
  /** Starts an attempt; idempotent. */
  abstract start (start: TaskStart): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>>
  /** Stops an attempt permanently, also one whose start has not been received yet. */
  abstract stop (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>>
  /** Writes a checkpoint of a running attempt. */
  abstract checkpoint (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>>
  /** Limits a running attempt to a share of its declared processors, from 0 to 1. */
  abstract throttle (attempt: AttemptReference, share: number): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>>
  /** Acknowledges that the end of an attempt is recorded, so that the worker may discard its result. */
  abstract acknowledge (attempt: AttemptReference): Promise<Result<WorkerResponse<null>, AuburnpinError>>
  abstract report (): Promise<Result<WorkerReport, AuburnpinError>>
  /** Lists the samples measured after `since`, a time of the worker's wall clock in milliseconds. */
  abstract usage (since: number): Promise<Result<readonly UsageSample[], AuburnpinError>>
}

/** Creates clients of workers. */
export abstract class Workers {
  abstract at (address: string): Worker
}
