/**
 * The platform's lagging list of VMs, seen from the program.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { VmEntry } from './types.ts'

/** Tells which VMs there are. */
export abstract class VmList {
  abstract read (): Promise<Result<readonly VmEntry[], AuburnpinError>>
}
