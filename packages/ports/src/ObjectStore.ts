/**
 * The interface of the platform's object store.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'

/** Stores binary objects by key. */
export abstract class ObjectStore {
  /** Resolves to the object, or to `null` if there is none. */
  abstract read (key: string): Promise<Result<Uint8Array | null, AuburnpinError>>
  abstract write (key: string, content: Uint8Array): Promise<Result<void, AuburnpinError>>
  abstract delete (key: string): Promise<Result<void, AuburnpinError>>
}
