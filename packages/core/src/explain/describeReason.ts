/**
 * The one place where a task's typed reason is put into words.
 */
import { assertNever, type Resources } from '@auburnpin/common'
import type { TaskReason } from '../cell/types.ts'

/** Two clauses without full stops: what is the case, and what would change it. */
export type Wording = Readonly<{ cause: string, change: string }>

/**
 * Words a reason.
 *
 * @example
 * describeReason({ kind: 'vm-lost', vm }).cause // 'VM vm-007 has left the VM list'
 */
export const describeReason = (reason: TaskReason): Wording => {
  switch (reason.kind) {
    case 'waiting-for-room':
      return { cause: 'no VM of its cell has room for it at present', change: 'it starts by itself once other work ends or a VM is added' }
    case 'waiting-for-workers':
      return { cause: 'no worker of its cell holds a lease at present', change: 'it starts by itself once a worker answers again; `auburnpin status` shows the cells' }
    case 'too-large':
      return { cause: `no VM of its cell is large enough; the largest offer ${describeResources(reason.largest)}`, change: 'submit it with smaller sizes or add a larger VM, upon which it is examined again' }
    case 'evicted-for':
      return { cause: `it made room for ${reason.task}`, change: 'it resumes by itself from its checkpoint once there is room' }
    case 'vm-leaving':
      return { cause: `VM ${reason.vm} is leaving`, change: 'it resumes by itself on another VM once there is room' }
    case 'vm-lost':
      return { cause: `VM ${reason.vm} has left the VM list`, change: 'it resumes by itself on another VM once there is room' }
    case 'lease-ran-out':
      return { cause: `the worker's lease on VM ${reason.vm} ran out`, change: 'it resumes by itself on a VM whose lease stands' }
    case 'attempts-used-up':
      return { cause: `all its attempts failed, the last with "${reason.last}"`, change: 'correct its command, then submit it under a new key' }
    case 'withdrawn':
      return { cause: 'a release note has withdrawn it', change: 'declare it again under a new name to run it' }
    case 'by-caller':
      return { cause: 'it was cancelled on request', change: 'submit it under a new key to run it' }
    default:
      return assertNever(reason, 'task reason')
  }
}

/**
 * Sizes as a person reads them.
 *
 * @example
 * describeResources({ processors: 2, memoryMb: 512, accelerators: 0 }) // '2 cores and 512 MB'
 */
export const describeResources = ({ processors, memoryMb, accelerators }: Resources): string => {
  const cores = `${processors} ${processors === 1 ? 'core' : 'cores'}`
  if (accelerators === 0) return `${cores} and ${memoryMb} MB`
  return `${cores}, ${memoryMb} MB and ${accelerators} ${accelerators === 1 ? 'accelerator' : 'accelerators'}`
}
