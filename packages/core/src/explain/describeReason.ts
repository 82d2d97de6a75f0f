/**
 * Turns a task's typed reason into text for operators.
 */
import { assertNever, type Resources, type ServiceName, type VmId } from '@auburnpin/common'
import type { TaskReason } from '../cell/types.ts'
import { CRASHES_TO_GIVE_UP } from '../constants.ts'

const PERCENT = 100

/** Two clauses without full stops: the cause, and what happens next or would change it. */
export type Explanation = Readonly<{ cause: string, nextStep: string }>

/**
 * Returns the text for a reason.
 *
 * @example
 * describeReason({ kind: 'vm-lost', vm }).cause // 'VM vm-007 has left the VM list'
 */
export const describeReason = (reason: TaskReason): Explanation => {
  switch (reason.kind) {
    case 'waiting-for-room':
      return { cause: 'no VM of its cell has enough free capacity at present', nextStep: 'it starts by itself once other work ends or a VM is added' }
    case 'waiting-for-workers':
      return { cause: 'no worker of its cell holds a lease at present', nextStep: 'it starts by itself once a worker responds again; `auburnpin status` shows the cells' }
    case 'data-centre-evacuated':
      return {
        cause: `data centre ${reason.dataCentre} is evacuated`,
        nextStep: `it starts by itself after \`auburnpin restore ${reason.dataCentre}\`; a job can be cancelled and submitted under a new key to run elsewhere`
      }
    case 'too-large':
      return { cause: `no VM of its cell is large enough; the largest offer ${describeResources(reason.largest)}`, nextStep: 'submit it with smaller sizes or add a larger VM, upon which it is examined again' }
    case 'over-quota':
      return { cause: `team ${reason.team} uses all of its quota of ${describeResources(reason.quota)}`, nextStep: 'it starts by itself once other work of the team ends, or a release note raises the quota' }
    case 'would-slow':
      return { cause: `on every VM with enough free capacity it would slow ${reason.service} past its objective`, nextStep: 'it starts by itself once a VM without that service has enough free capacity, or the load of the service falls' }
    case 'waiting-for-eviction':
      return { cause: `other work on VM ${reason.vm} is being stopped for it`, nextStep: 'it starts by itself once that work is confirmed to have ended' }
    case 'placed':
      return { cause: describePlaced(reason.vm, reason.servicesOnVm), nextStep: 'draining the VM or withdrawing the task moves it' }
    case 'throttled-for':
      return { cause: `it is throttled to ${Math.round(reason.share * PERCENT)} % of its processors to protect ${reason.service}`, nextStep: 'it speeds up by itself once that service meets its objective' }
    case 'evicted-for-service':
      return { cause: `it slowed ${reason.service} on VM ${reason.vm}`, nextStep: 'it resumes by itself from its checkpoint on another VM' }
    case 'evicted-for':
      return { cause: `it was evicted to free capacity for ${reason.task}`, nextStep: 'it resumes by itself from its checkpoint once a VM has enough free capacity' }
    case 'vm-leaving':
      return { cause: `VM ${reason.vm} is leaving`, nextStep: 'it resumes by itself once another VM has enough free capacity' }
    case 'vm-lost':
      return { cause: `VM ${reason.vm} has left the VM list`, nextStep: 'it resumes by itself once another VM has enough free capacity' }
    case 'lease-ran-out':
      return { cause: `the worker's lease on VM ${reason.vm} expired`, nextStep: 'it resumes by itself on a VM whose worker holds a lease' }
    case 'attempts-used-up':
      return { cause: `all its attempts failed, the last with "${reason.last}"`, nextStep: 'correct its command, then submit it under a new key' }
    case 'may-crash-workers':
      return { cause: describeCrashes(reason.vms), nextStep: `it starts again by itself, apart from other tasks, and is given up at ${CRASHES_TO_GIVE_UP} crashes in a row` }
    case 'crashed-workers':
      return { cause: describeCrashes(reason.vms), nextStep: 'correct its command, then submit it under a new key or declare it again' }
    case 'redeclared':
      return { cause: 'its declaration has changed', nextStep: 'it resumes by itself under the new one' }
    case 'replaced':
      return { cause: 'another replica has taken its place', nextStep: 'nothing; it stops by itself' }
    case 'withdrawn':
      return { cause: 'a release note has withdrawn it', nextStep: 'declare it again to run it' }
    case 'by-caller':
      return { cause: 'it was cancelled on request', nextStep: 'submit it under a new key to run it' }
    default:
      return assertNever(reason, 'task reason')
  }
}

const describeCrashes = (vms: readonly VmId[]): string =>
  vms.length === 1 ? `the worker that started it on VM ${vms[0]} crashed soon after` : `the workers that started it on VMs ${vms.join(', ')} crashed soon after`

const describePlaced = (vm: VmId, services: readonly ServiceName[]): string => {
  if (services.length === 0) return `VM ${vm} has capacity for it and runs no service`
  return `VM ${vm} has capacity for it beside ${services.join(', ')}`
}

/**
 * Formats resources for people.
 *
 * @example
 * describeResources({ processors: 2, memoryMb: 512, accelerators: 0 }) // '2 cores and 512 MB'
 */
export const describeResources = ({ processors, memoryMb, accelerators }: Resources): string => {
  const cores = `${processors} ${processors === 1 ? 'core' : 'cores'}`
  if (accelerators === 0) return `${cores} and ${memoryMb} MB`
  return `${cores}, ${memoryMb} MB and ${accelerators} ${accelerators === 1 ? 'accelerator' : 'accelerators'}`
}
