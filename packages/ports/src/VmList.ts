/**
 * The interface of the platform's VM list.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { VmEntry } from './types.ts'

/** Lists the VMs; the list lags behind the actual state. */
export abstract class VmList {
  abstract read (): Promise<Result<readonly VmEntry[], AuburnpinError>>
}
