/**
 * An in-memory object store, as one member accesses it.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { ObjectStore } from '@auburnpin/ports'
import type { FakeLink } from './FakeLink.ts'

/** One member's client of a shared map of objects. */
export class FakeObjectStore extends ObjectStore {
  readonly #objects: Map<string, Uint8Array>
  readonly #link: FakeLink
  readonly #member: string

  constructor (objects: Map<string, Uint8Array>, link: FakeLink, member: string) {
    super()
    this.#objects = objects
    this.#link = link
    this.#member = member
  }

  read (key: string): Promise<Result<Uint8Array | null, AuburnpinError>> {
    return this.#link.deliver(this.#member, 'store', `read ${key}`, () => Ok(this.#objects.get(key) ?? null))
  }

  write (key: string, content: Uint8Array): Promise<Result<void, AuburnpinError>> {
    return this.#link.deliver(this.#member, 'store', `write ${key}`, () => {
      this.#objects.set(key, content.slice())
      return Ok(undefined)
    })
  }

  delete (key: string): Promise<Result<void, AuburnpinError>> {
    return this.#link.deliver(this.#member, 'store', `delete ${key}`, () => {
      this.#objects.delete(key)
      return Ok(undefined)
    })
  }
}
