/**
 * The platform's object store, seen from the program.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'

/** Keeps whole objects under keys. */
export abstract class ObjectStore {
  /** The object, or `null` if there is none. */
  abstract read (key: string): Promise<Result<Uint8Array | null, AuburnpinError>>
  abstract write (key: string, content: Uint8Array): Promise<Result<void, AuburnpinError>>
  abstract delete (key: string): Promise<Result<void, AuburnpinError>>
}
