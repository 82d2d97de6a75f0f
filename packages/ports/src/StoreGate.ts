/**
 * The one way of a process to the platform's store: budget, then breaker, then the call.
 */
import { AuburnpinError, Err, type Clock, type ErrorKind, type Metrics, type Random, type Result } from '@auburnpin/common'
import type { CallClass } from './CallClass.ts'
import { CallBudget } from './CallBudget.ts'
import { CircuitBreaker } from './CircuitBreaker.ts'
import { ASSUMED_MEMBERS, REGION_READS_PER_SECOND, REGION_WRITES_PER_SECOND } from './constants.ts'

/** Kinds of error that mean that the store itself did not answer. */
const OUTAGE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['unreachable', 'unknown-outcome', 'timeout'])

/** Shared by the table and object clients of one process. */
export class StoreGate {
  readonly #clock: Clock
  readonly #metrics: Metrics
  readonly #breaker: CircuitBreaker
  readonly #writes: CallBudget
  readonly #reads: CallBudget
  #isDownSince: number | undefined

  constructor (clock: Clock, random: Random, metrics: Metrics) {
    this.#clock = clock
    this.#metrics = metrics
    this.#breaker = new CircuitBreaker(clock, random)
    this.#writes = new CallBudget(clock, REGION_WRITES_PER_SECOND / ASSUMED_MEMBERS)
    this.#reads = new CallBudget(clock, REGION_READS_PER_SECOND / ASSUMED_MEMBERS)
  }

  /** Whether the store counts as down. */
  get isDown (): boolean {
    return this.#breaker.isOpen
  }

  /** How long the store has failed every call, in milliseconds; 0 while it answers. */
  get downMs (): number {
    return this.#isDownSince === undefined ? 0 : this.#clock.now() - this.#isDownSince
  }

  /** Calls that wait for the budget. */
  get waiting (): number {
    return this.#writes.waiting + this.#reads.waiting
  }

  /** Shares the region's budget among so many processes. */
  share (processes: number): void {
    const shares = Math.max(1, processes)
    this.#writes.setRate(REGION_WRITES_PER_SECOND / shares)
    this.#reads.setRate(REGION_READS_PER_SECOND / shares)
  }

  /** Makes a write when its turn has come. */
  write<Value> (callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    return this.#run(this.#writes, callClass, call, () => this.#metrics.count('table.writes', 1, { class: callClass }))
  }

  /** Makes a read when its turn has come. */
  read<Value> (callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    return this.#run(this.#reads, callClass, call, () => this.#metrics.count('table.reads', 1, { class: callClass }))
  }

  async #run<Value> (
    budget: CallBudget, callClass: CallClass, call: () => Promise<Result<Value, AuburnpinError>>, count: () => void
  ): Promise<Result<Value, AuburnpinError>> {
    // A call to a store that is down would only take the turn of one that can succeed.
    if (this.#breaker.isRefusing) return Err(storeDown())
    const admitted = await budget.acquire(callClass)
    if (admitted.err) return admitted
    const permit = this.#breaker.admit()
    if (permit === 'refused') return Err(storeDown())
    count()
    const result = await call()
    const isAnswered = result.ok || !OUTAGE_KINDS.has(result.val.kind)
    this.#breaker.report(permit, isAnswered)
    this.#isDownSince = isAnswered ? undefined : this.#isDownSince ?? this.#clock.now()
    return result
  }
}

const storeDown = (): AuburnpinError =>
  new AuburnpinError('unreachable', 'The platform\'s store does not answer; nothing was sent', 'Wait: it is tried again by itself as soon as it may be back.')
