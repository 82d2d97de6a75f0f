/**
 * Finds a data centre of a note that the region does not have.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import type { Note } from '@auburnpin/core'
import type { ActionPorts } from './Action.ts'

/**
 * Returns the first data centre that the note evacuates although neither a live member nor a listed VM is in it, or
 * `null`. The VM list is read only for a data centre without members; errors are those of the VM list.
 */
export const findUnknownDataCentre = async ({ membership, vmList }: ActionPorts, note: Note): Promise<Result<string | null, AuburnpinError>> => {
  const withMembers = new Set<string>(membership.live.map(row => row.dataCentre))
  const named = [...Object.keys(note.added.evacuations), ...Object.keys(note.changed.evacuations)]
  const withoutMembers = named.filter(name => !withMembers.has(name))
  if (withoutMembers.length === 0) return Ok(null)
  const vms = await vmList.read()
  if (vms.err) return vms
  const withVms = new Set<string>(vms.val.map(vm => vm.dataCentre))
  return Ok(withoutMembers.find(name => !withVms.has(name)) ?? null)
}
