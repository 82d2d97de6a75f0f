/**
 * Keeps one worker's lease and asks for its reports.
 */
import { brand, Ticker, type Clock, type Instant, type LeaseSession, type Log, type Random } from '@auburnpin/common'
import { WORKER_LEASE_MS, type CellEvent, type CellTerm, type UsageReading, type Vm } from '@auburnpin/core'
import type { UsageSample, Worker, WorkerReport } from '@auburnpin/ports'
import { LEASE_RENEW_MS, REPORT_MS, USAGE_MS } from './constants.ts'

const SESSION_ID_LENGTH = 12

/** Speaks for one owner to one worker; one exchange at a time, so answers come in order. */
export class WorkerLink {
  readonly #vm: Vm
  readonly #term: CellTerm
  readonly #worker: Worker
  readonly #clock: Clock
  readonly #random: Random
  readonly #post: (event: CellEvent) => void
  readonly #onFenced: () => void
  readonly #ticker: Ticker
  #session: LeaseSession | undefined
  #renewedAt: Instant | undefined
  #usageAt: Instant | undefined
  #usageSince = 0

  constructor (vm: Vm, term: CellTerm, worker: Worker, clock: Clock, random: Random, log: Log, post: (event: CellEvent) => void, onFenced: () => void) {
    this.#vm = vm
    this.#term = term
    this.#worker = worker
    this.#clock = clock
    this.#random = random
    this.#post = post
    this.#onFenced = onFenced
    this.#ticker = new Ticker(clock, REPORT_MS, () => this.exchange(), error => log.error(String(error), { vm: vm.id }))
  }

  start (): void {
    this.#ticker.start(this.#random.fraction() * REPORT_MS)
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Asks for a report and renews the lease when it is due. */
  async exchange (): Promise<void> {
    const askedAt = this.#clock.now()
    const report = await this.#worker.report()
    if (report.err) return
    // Told before the renewal: whoever waits for the lease to run out must know that one may be on its way.
    this.#post({ kind: 'reported', vm: this.#vm.id, askedAt, session: report.val.session, tasks: report.val.tasks })
    if (this.#isRenewalDue(report.val)) await this.#renew(report.val)
    if (this.#usageAt === undefined || askedAt - this.#usageAt >= USAGE_MS) await this.#readUsage(askedAt)
  }

  async #readUsage (askedAt: Instant): Promise<void> {
    this.#usageAt = askedAt
    const usage = await this.#worker.usage(this.#usageSince)
    if (usage.err || usage.val.length === 0) return
    this.#usageSince = Math.max(...usage.val.map(sample => sample.measuredAt))
    this.#post({ kind: 'usage', vm: this.#vm.id, readings: usage.val.map(sample => this.#toReading(sample)) })
  }

  // Workers date samples by the wall clock; a sample from the future counts as measured now.
  #toReading (sample: UsageSample): UsageReading {
    const ageMs = Math.max(0, this.#clock.wallTime() - sample.measuredAt)
    return { measuredAt: brand<Instant>(this.#clock.now() - ageMs), tasks: sample.tasks }
  }

  #isRenewalDue (report: WorkerReport): boolean {
    const isOther = this.#session === undefined || report.session !== this.#session
    return isOther || this.#renewedAt === undefined || this.#clock.now() - this.#renewedAt >= LEASE_RENEW_MS
  }

  async #renew (report: WorkerReport): Promise<void> {
    const isNew = report.session === null
    const session = report.session ?? this.#newSession()
    const sentAt = this.#clock.now()
    const answer = await this.#worker.lease({ session, epoch: this.#term.epoch, ttlMs: WORKER_LEASE_MS, isNew })
    if (answer.err) return
    if (answer.val.kind === 'refused') {
      this.#session = undefined
      // A worker only knows a higher epoch from an owner who has claimed the cell since.
      if (answer.val.reason === 'lower-epoch') this.#onFenced()
      this.#post({ kind: 'lease-refused', vm: this.#vm.id, openSession: answer.val.session })
      return
    }
    this.#session = session
    this.#renewedAt = sentAt
    this.#post({ kind: 'lease-granted', vm: this.#vm.id, session, sentAt })
  }

  #newSession (): LeaseSession {
    return brand<LeaseSession>(`${this.#term.cell}.${this.#term.epoch}.${this.#random.id(SESSION_ID_LENGTH)}`)
  }
}
