/**
 * Sends the orders that the scheduler of a cell has decided, and applies the responses.
 */
import { assertNever, type Epoch, type WorkerId } from '@auburnpin/common'
import { runKey, type JobScheduler, type RunOrder, type WorkerRecord } from '@auburnpin/core'
import { SURVIVAL_REPORT_DELAY_MS, WORKER_LEASE_MS } from './constants.ts'
import type { OwnerLoad } from './OwnerLoad.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { StartWindow } from './StartWindow.ts'
import type { StartResponse } from './WorkerCalls.ts'
import type { WorkerPoller } from './WorkerPoller.ts'

type Order<Kind extends RunOrder['kind']> = RunOrder & { kind: Kind }

/** What the sender of orders needs from the owner of the cell. */
export abstract class OrderHost {
  /** Whether the term is held, so that orders may be sent. */
  abstract get isHeld (): boolean
  /** Whether the owner no longer applies responses. */
  abstract get isClosed (): boolean
  /** Whether the worker's lease may be extended. */
  abstract isLeasable (worker: WorkerRecord): boolean
  /** The fencing epoch of calls to this incarnation; `undefined` until it is recorded durably. */
  abstract epochOf (worker: WorkerRecord): Epoch | undefined
  /** Whether the evacuations still allow the start. */
  abstract admits (order: RunOrder, worker: WorkerRecord): boolean
  abstract pollerOf (worker: WorkerId): WorkerPoller | undefined
  /** The worker has accepted an order or request of a later owner. */
  abstract fenced (worker: WorkerId): void
  /** The scheduler's state may have changed. */
  abstract stateChanged (): void
}

/** Sends the orders of one term. */
export class OrderSender {
  readonly #ports: OwnerPorts
  readonly #scheduler: JobScheduler
  readonly #host: OrderHost
  readonly #load: OwnerLoad
  readonly #startWindow = new StartWindow()

  constructor (ports: OwnerPorts, scheduler: JobScheduler, host: OrderHost, load: OwnerLoad) {
    this.#ports = ports
    this.#scheduler = scheduler
    this.#host = host
    this.#load = load
  }

  /** Number of orders to start that may be sent now. */
  get freeStarts (): number {
    return this.#startWindow.free
  }

  /** Sends an order and applies its response. Never rejects. */
  async send (order: RunOrder): Promise<void> {
    try {
      await this.#execute(order)
    } catch (thrown) {
      this.#ports.log.error('An order failed unexpectedly', { kind: order.kind, task: order.task, worker: order.worker, error: String(thrown) })
    }
  }

  async #execute (order: RunOrder): Promise<void> {
    const worker = this.#scheduler.workers.get(order.worker)
    if (worker === undefined) return
    switch (order.kind) {
      case 'start':
        await this.#start(order, worker)
        break
      case 'stop':
        await this.#stop(order, worker)
        break
      case 'pace':
        await this.#pace(order, worker)
        return
      default:
        assertNever(order, 'order')
    }
    this.#host.stateChanged()
  }

  async #start (order: Order<'start'>, worker: WorkerRecord): Promise<void> {
    const { clock, log } = this.#ports
    const opened = this.#startWindow.open(clock.now())
    // A task must neither wait for the lease of an idle worker that has left unnoticed, nor give one that was reborn a lease meant for the incarnation before.
    const isConfirmed = await this.#host.pollerOf(order.worker)?.confirm(worker) === true
    if (this.#host.isClosed) return
    const isWanted = isConfirmed && this.#host.admits(order, worker) && worker.runs.get(runKey(order.task, order.attempt))?.isStopRequested === false
    // Read before the check, so that the lease counts from a moment at which the term is held.
    const decidedAt = clock.now()
    const leaseEndMs = isWanted && this.#host.isHeld && this.#host.isLeasable(worker) ? worker.leaseEnd(WORKER_LEASE_MS, decidedAt) : undefined
    const epoch = this.#host.epochOf(worker)
    if (leaseEndMs === undefined || epoch === undefined) {
      this.#startWindow.close(opened, decidedAt, decidedAt, false)
      this.#scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'unavailable', clock.now())
      return
    }
    const sentAt = clock.now()
    const leaseCall = worker.beginLeaseCall(leaseEndMs, sentAt)
    this.#scheduler.recordStartSent(order.worker, order.task, order.attempt, sentAt)
    const { outcome: answer, clockMs } = await this.#callStart(order, worker, leaseEndMs, epoch)
    const now = clock.now()
    const current = this.#scheduler.workers.get(order.worker)
    // A later incarnation refuses calls for an earlier one as well.
    const outcome = answer === 'fenced' && worker !== current ? 'reborn' : answer
    worker.leaseCalls.end(leaseCall, outcome !== 'unknown')
    this.#startWindow.close(opened, sentAt, now, clockMs !== undefined)
    if (clockMs !== undefined) this.#load.recordStart(now - sentAt)
    if (this.#host.isClosed) return
    if (clockMs !== undefined) {
      if (worker === current) worker.recordClock(clockMs, sentAt, now)
      if (worker === current || current?.refusesEarlierCalls === false) current.inheritLease(leaseEndMs, clockMs, now)
    }
    this.#ports.metrics.count('runs.ordered', 1, { outcome })
    if (outcome !== 'started') log.warn('Start order not accepted', { task: order.task, attempt: order.attempt, worker: order.worker, incarnation: worker.entry.incarnation, epoch, outcome, leaseEndMs, clockMs })
    if (this.#scheduler.recordStartOutcome(order.worker, order.task, order.attempt, outcome, now, clockMs)) this.#host.fenced(order.worker)
    const poller = this.#host.pollerOf(order.worker)
    if (outcome === 'unknown' || outcome === 'superseded') poller?.reportNow()
    else poller?.wake()
    // A task that may crash the worker is cleared by the first report after it has survived its start.
    if (worker.suspects.size > 0) clock.after(SURVIVAL_REPORT_DELAY_MS, () => poller?.reportNow())
  }

  // An unexpected error may come after the order was sent, and the run must not stay in progress for ever.
  async #callStart (order: Order<'start'>, worker: WorkerRecord, leaseEndMs: number, epoch: Epoch): Promise<StartResponse> {
    try {
      return await this.#ports.calls.start(worker.entry, { ...order, leaseEndMs, epoch })
    } catch (thrown) {
      this.#ports.log.error('A start order failed unexpectedly', { task: order.task, worker: order.worker, error: String(thrown) })
      return { outcome: 'unknown' }
    }
  }

  async #pace (order: Order<'pace'>, worker: WorkerRecord): Promise<void> {
    this.#ports.metrics.count('runs.paced')
    const epoch = this.#host.epochOf(worker)
    const answer = epoch === undefined ? 'failed' : await this.#ports.calls.pace(worker.entry, order, order.percent, epoch)
    if (this.#host.isClosed) return
    this.#ports.log.info('Pace ordered', { task: order.task, attempt: order.attempt, worker: order.worker, percent: order.percent, answer })
    if (answer === 'fenced') this.#fenced(worker)
    if (answer === 'failed') this.#scheduler.recordPaceFailure(order.worker, order.task, order.attempt)
  }

  async #stop (order: Order<'stop'>, worker: WorkerRecord): Promise<void> {
    const { clock, calls, log } = this.#ports
    const epoch = this.#host.epochOf(worker)
    const answer = epoch === undefined ? 'failed' : await calls.stop(worker.entry, order, epoch)
    if (this.#host.isClosed) return
    log.info('Stop ordered', { task: order.task, attempt: order.attempt, worker: order.worker, epoch, answer })
    if (answer === 'fenced') this.#fenced(worker)
    if (answer === 'taken') this.#scheduler.recordStopAccepted(order.worker, order.task, order.attempt, clock.now())
  }

  // A later incarnation refuses calls for an earlier one as well.
  #fenced (worker: WorkerRecord): void {
    const { id } = worker.entry
    if (this.#scheduler.workers.get(id) === worker) this.#host.fenced(id)
  }
}
