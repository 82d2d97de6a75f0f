/**
 * An object store whose calls go through the process's rate limiters and circuit breaker.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { ObjectStore } from './ObjectStore.ts'
import type { StoreGate } from './StoreGate.ts'

/** All objects are snapshots, whose calls have a lower priority than those for ownership and the journal. */
export class RateLimitedObjectStore extends ObjectStore {
  readonly #inner: ObjectStore
  readonly #gate: StoreGate

  constructor (inner: ObjectStore, gate: StoreGate) {
    super()
    this.#inner = inner
    this.#gate = gate
  }

  read (key: string): Promise<Result<Uint8Array | null, AuburnpinError>> {
    return this.#gate.read('snapshot', () => this.#inner.read(key))
  }

  write (key: string, content: Uint8Array): Promise<Result<void, AuburnpinError>> {
    return this.#gate.write('snapshot', () => this.#inner.write(key, content))
  }

  delete (key: string): Promise<Result<void, AuburnpinError>> {
    return this.#gate.write('snapshot', () => this.#inner.delete(key))
  }
}
