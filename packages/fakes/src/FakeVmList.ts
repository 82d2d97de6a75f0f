/**
 * A VM list whose content the test sets.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { VmList, type VmEntry } from '@auburnpin/ports'
import type { FakeLink } from './FakeLink.ts'

/** One list for all members. */
export class FakeVmList extends VmList {
  readonly #link: FakeLink
  #vms: readonly VmEntry[] = []

  constructor (link: FakeLink) {
    super()
    this.#link = link
  }

  set (vms: readonly VmEntry[]): void {
    this.#vms = vms
  }

  read (): Promise<Result<readonly VmEntry[], AuburnpinError>> {
    return this.#link.deliver('member', 'vm-list', 'read', () => Ok(this.#vms))
  }
}
