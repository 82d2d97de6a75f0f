/**
 * An object store behind the process's gate.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { ObjectStore } from './ObjectStore.ts'
import type { StoreGate } from './StoreGate.ts'

/** Objects are snapshots: they give way to ownership and to the journal. */
export class BudgetedObjectStore extends ObjectStore {
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
