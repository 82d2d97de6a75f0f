/**
 * One VM's worker, seen from the program.
 */
import type { Attempt, AuburnpinError, Epoch, LeaseSession, Result, TaskId } from '@auburnpin/common'
import type { TaskStart, UsageSample, WorkerAnswer, WorkerLease, WorkerReport, WorkerTask } from './types.ts'

/** Names one attempt and who speaks for it. */
export type AttemptAddress = Readonly<{ id: TaskId, attempt: Attempt, leaseSession: LeaseSession, epoch: Epoch }>

/** Runs tasks under a lease. An error `unknown-outcome` means that the call may have taken effect. */
export abstract class Worker {
  /** Takes or renews the lease. */
  abstract lease (lease: WorkerLease): Promise<Result<WorkerAnswer<WorkerLease>, AuburnpinError>>
  /** Starts an attempt; the same attempt again changes nothing. */
  abstract start (start: TaskStart): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>>
  /** Stops an attempt for good, also one that has not arrived yet. */
  abstract stop (address: AttemptAddress): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>>
  /** Writes a checkpoint of a running attempt. */
  abstract checkpoint (address: AttemptAddress): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>>
  /** Limits a running attempt to a share of its declared processors, 0 to 1. */
  abstract throttle (address: AttemptAddress, share: number): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>>
  /** Tells that the end of an attempt is recorded; the worker may forget its result. */
  abstract acknowledge (address: AttemptAddress): Promise<Result<WorkerAnswer<null>, AuburnpinError>>
  abstract report (): Promise<Result<WorkerReport, AuburnpinError>>
  /** Samples measured after `since`, worker's wall clock in milliseconds. */
  abstract usage (since: number): Promise<Result<readonly UsageSample[], AuburnpinError>>
}

/** Gives the worker that answers at an address. */
export abstract class Workers {
  abstract at (address: string): Worker
}
