/**
 * Connection of a cell's owner to one worker: lease renewal, reports and usage.
 */
import { brand, Ticker, type Clock, type Instant, type LeaseSession, type Log, type Random } from '@auburnpin/common'
import { WORKER_LEASE_MS, type CellEvent, type CellTerm, type UsageReading, type Vm } from '@auburnpin/core'
import type { UsageSample, Worker, WorkerReport } from '@auburnpin/ports'
import { LEASE_RENEWAL_INTERVAL_MS, REPORT_INTERVAL_MS, USAGE_INTERVAL_MS } from './constants.ts'

const SESSION_ID_LENGTH = 12
/** What follows the cell in the name of a session: epoch, random id, and the VM, which earlier versions left out. */
const SESSION_REST = new RegExp(`^\\.\\d+\\.[^.]{${SESSION_ID_LENGTH}}(?:\\.(?<vm>.+))?$`)
/** A worker that has been granted no lease since it started reports a lower epoch. */
const FIRST_EPOCH = 1

/** What a link tells its cell and asks it. */
export type LinkHandlers = Readonly<{
  post: (event: CellEvent) => void
  /** Resolves to whether all changes that the event caused are durable; `post` doesn't wait for them. */
  record: (event: CellEvent) => Promise<boolean>
  onFenced: () => void
  /** Whether the VM list names the VM at this address. */
  isListed: (vm: Vm) => boolean
}>

/**
 * Polls one worker for one owner. Exchanges run one at a time, so responses are handled in order. The address may belong
 * to another VM by now; a session names its VM, so that its worker is left alone.
 */
export class WorkerLink {
  readonly #vm: Vm
  readonly #term: CellTerm
  readonly #worker: Worker
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #handlers: LinkHandlers
  readonly #ticker: Ticker
  #session: LeaseSession | undefined
  #renewedAt: Instant | undefined
  #usageAt: Instant | undefined
  #usageSince = 0
  #otherSession: LeaseSession | undefined
  #respondedAt: Instant
  #isStopped = false

  constructor (vm: Vm, term: CellTerm, worker: Worker, clock: Clock, random: Random, log: Log, handlers: LinkHandlers) {
    this.#vm = vm
    this.#term = term
    this.#worker = worker
    this.#clock = clock
    this.#respondedAt = clock.now()
    this.#random = random
    this.#log = log
    this.#handlers = handlers
    this.#ticker = new Ticker(clock, REPORT_INTERVAL_MS, () => this.exchange(), error => log.error(String(error), { vm: vm.id }))
  }

  get address (): string {
    return this.#vm.address
  }

  /** When the worker last responded under a lease, or this link was created. */
  get respondedAt (): Instant {
    return this.#respondedAt
  }

  start (): void {
    this.#ticker.start(this.#random.fraction() * REPORT_INTERVAL_MS)
  }

  /** Ends the exchanges; of one in progress nothing more is posted, as another link may have replaced this one. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#ticker.stop()
  }

  /** Requests a report, renews the lease if it is due, and reads usage samples if they are due. */
  async exchange (): Promise<void> {
    const askedAt = this.#clock.now()
    const report = await this.#worker.report()
    if (report.err || this.#isStopped || this.#isOther(report.val)) return
    if (report.val.session !== null) this.#respondedAt = this.#clock.now()
    // The clock of a worker that has started again may have been set back.
    if (report.val.epoch < FIRST_EPOCH) this.#usageSince = 0
    // Posted before the renewal, so that a cell waiting for the lease to expire allows for a renewal in flight.
    if (!await this.#postReport(report.val, askedAt)) return
    if (this.#isRenewalDue(report.val)) await this.#renew(report.val)
    if (this.#usageAt === undefined || askedAt - this.#usageAt >= USAGE_INTERVAL_MS) await this.#readUsage(askedAt)
  }

  #isOther ({ session }: WorkerReport): boolean {
    const isOther = session !== null && !this.#isOwn(session)
    if (isOther && session !== this.#otherSession) this.#log.warn('The worker holds a lease of another VM or cell and is left alone', { cell: this.#term.cell, vm: this.#vm.id, session })
    this.#otherSession = isOther ? session : undefined
    return isOther
  }

  #isOwn (session: LeaseSession): boolean {
    const { cell } = this.#term
    const rest = session.startsWith(cell) ? SESSION_REST.exec(session.slice(cell.length)) : null
    return rest !== null && (rest.groups?.vm ?? this.#vm.id) === this.#vm.id
  }

  // A new session hides from the next owner that the worker was restarted, so what that ended must be durable before.
  async #postReport ({ session, epoch, tasks }: WorkerReport, askedAt: Instant): Promise<boolean> {
    const event: CellEvent = { kind: 'reported', vm: this.#vm.id, askedAt, session, isNewIncarnation: epoch < FIRST_EPOCH, tasks }
    if (session === null) return await this.#handlers.record(event)
    this.#handlers.post(event)
    return true
  }

  async #readUsage (askedAt: Instant): Promise<void> {
    this.#usageAt = askedAt
    const usage = await this.#worker.usage(this.#usageSince)
    if (usage.err || usage.val.length === 0) return
    this.#usageSince = Math.max(...usage.val.map(sample => sample.measuredAt))
    this.#handlers.post({ kind: 'usage', vm: this.#vm.id, readings: usage.val.map(sample => this.#toReading(sample)) })
  }

  // Workers timestamp samples by the wall clock; a sample from the future is treated as measured now.
  #toReading (sample: UsageSample): UsageReading {
    const ageMs = Math.max(0, this.#clock.wallTime() - sample.measuredAt)
    return { measuredAt: brand<Instant>(this.#clock.now() - ageMs), tasks: sample.tasks }
  }

  #isRenewalDue (report: WorkerReport): boolean {
    const isOther = this.#session === undefined || report.session !== this.#session
    return isOther || this.#renewedAt === undefined || this.#clock.now() - this.#renewedAt >= LEASE_RENEWAL_INTERVAL_MS
  }

  async #renew (report: WorkerReport): Promise<void> {
    const isNew = report.session === null
    if (isNew && !this.#handlers.isListed(this.#vm)) return
    const session = report.session ?? this.#newSession()
    const sentAt = this.#clock.now()
    const response = await this.#worker.lease({ session, epoch: this.#term.epoch, ttlMs: WORKER_LEASE_MS, isNew })
    if (this.#isStopped) return
    if (response.err) {
      if (response.val.kind === 'unknown-outcome') this.#handlers.post({ kind: 'lease-unanswered', vm: this.#vm.id, sentAt })
      return
    }
    if (response.val.kind === 'refused') {
      this.#session = undefined
      // A worker has a higher epoch only if another owner has claimed the cell since.
      if (response.val.reason === 'lower-epoch') this.#handlers.onFenced()
      this.#handlers.post({ kind: 'lease-refused', vm: this.#vm.id, openSession: response.val.session })
      return
    }
    this.#session = session
    this.#renewedAt = sentAt
    this.#handlers.post({ kind: 'lease-granted', vm: this.#vm.id, session, sentAt })
  }

  #newSession (): LeaseSession {
    return brand<LeaseSession>(`${this.#term.cell}.${this.#term.epoch}.${this.#random.id(SESSION_ID_LENGTH)}.${this.#vm.id}`)
  }
}
