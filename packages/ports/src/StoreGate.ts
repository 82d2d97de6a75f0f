/**
 * Admission control for all calls of a process to the platform's store: rate limiter, then circuit breaker, then the call.
 */
import { AuburnpinError, Err, type Clock, type ErrorKind, type Metrics, type Random, type Result } from '@auburnpin/common'
import type { CallClass } from './CallClass.ts'
import { PriorityRateLimiter } from './PriorityRateLimiter.ts'
import { CircuitBreaker } from './CircuitBreaker.ts'
import { ASSUMED_PROCESSES, REGION_READS_PER_SECOND, REGION_WRITES_PER_SECOND } from './constants.ts'

/** Kinds of errors that count as an outage, because the store did not respond. */
const OUTAGE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['unreachable', 'unknown-outcome', 'timeout'])

/** Shared by the table and object clients of one process. */
export class StoreGate {
  readonly #clock: Clock
  readonly #metrics: Metrics
  readonly #breaker: CircuitBreaker
  readonly #writes: PriorityRateLimiter
  readonly #reads: PriorityRateLimiter
  #outageStartedAt: number | undefined

  constructor (clock: Clock, random: Random, metrics: Metrics) {
    this.#clock = clock
    this.#metrics = metrics
    this.#breaker = new CircuitBreaker(clock, random)
    this.#writes = new PriorityRateLimiter(clock, REGION_WRITES_PER_SECOND / ASSUMED_PROCESSES)
    this.#reads = new PriorityRateLimiter(clock, REGION_READS_PER_SECOND / ASSUMED_PROCESSES)
  }

  /** Whether the store counts as unavailable. */
  get isDown (): boolean {
    return this.#breaker.isOpen
  }

  /** How long every call to the store has failed, in milliseconds; 0 while it responds. */
  get outageMs (): number {
    return this.#outageStartedAt === undefined ? 0 : this.#clock.now() - this.#outageStartedAt
  }

  /** Number of calls that wait for the rate limiters. */
  get waiting (): number {
    return this.#writes.waiting + this.#reads.waiting
  }

  /** Sets the number of processes that the region's rate limits are divided among. */
  setProcessCount (processes: number): void {
    const divisor = Math.max(1, processes)
    this.#writes.setRate(REGION_WRITES_PER_SECOND / divisor)
    this.#reads.setRate(REGION_READS_PER_SECOND / divisor)
  }

  /** Sends a write once it is admitted. */
  write<Value> (callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    return this.#run(this.#writes, callClass, call, () => this.#metrics.count('table.writes', 1, { class: callClass }))
  }

  /** Sends a read once it is admitted. */
  read<Value> (callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    return this.#run(this.#reads, callClass, call, () => this.#metrics.count('table.reads', 1, { class: callClass }))
  }

  async #run<Value> (
    limiter: PriorityRateLimiter, callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>, count: () => void
  ): Promise<Result<Value, AuburnpinError>> {
    // A call to an unavailable store would only use a token that a later call needs.
    if (this.#breaker.isRefusing) return Err(storeUnavailable())
    const admitted = await limiter.acquire(callClass)
    if (admitted.err) return admitted
    const permit = this.#breaker.admit()
    if (permit === 'refused') return Err(storeUnavailable())
    count()
    const result = await call()
    const isAnswered = result.ok || !OUTAGE_KINDS.has(result.val.kind)
    this.#breaker.report(permit, isAnswered)
    this.#outageStartedAt = isAnswered ? undefined : this.#outageStartedAt ?? this.#clock.now()
    return result
  }
}

const storeUnavailable = (): AuburnpinError =>
  new AuburnpinError('unreachable', 'The platform\'s store is unavailable; nothing was sent', 'Wait; the store is probed again automatically.')
