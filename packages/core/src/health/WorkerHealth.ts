/**
 * Detects workers on which every task fails.
 */
import type { Instant, TaskId, VmId } from '@auburnpin/common'
import type { Task } from '../cell/types.ts'
import {
  FAILED_TASKS_TO_QUARANTINE, FAILED_VMS_TO_BLAME_WORKLOAD, MAX_PROVEN_WORKLOADS, MAX_QUARANTINE_MS, MAX_QUARANTINED_SHARE, QUARANTINE_MS
} from '../constants.ts'
import { workloadKindOf } from '../interference/workloadKindOf.ts'

type Quarantine = { until: Instant, lengthMs: number, isProbing: boolean }

/**
 * Quarantines a VM on which several distinct tasks failed and none finished, then probes it with one task
 * at a time. Failures of a kind of task that fails on many VMs are attributed to the kind, not to the VMs.
 */
export class WorkerHealth {
  readonly #failedTasksByVm = new Map<VmId, Set<TaskId | string>>()
  readonly #provenKinds = new Set<string>()
  readonly #failedVmsByKind = new Map<string, Set<VmId>>()
  readonly #quarantines = new Map<VmId, Quarantine>()

  /** Records the end of an attempt. */
  observe (before: Task, after: Task, vmCount: number, now: Instant): void {
    const vm = before.placement?.vm
    if (vm === undefined || after.placement !== undefined) return
    if (after.state === 'finished') this.#recordSuccess(vm, workloadKindOf(after.spec))
    else if (after.failures > before.failures) this.#recordFailure(vm, after, vmCount, now)
    else this.#endProbe(vm)
  }

  /** Whether a task may be placed on the VM now. */
  acceptsTasks (vm: VmId, now: Instant): boolean {
    const quarantine = this.#quarantines.get(vm)
    return quarantine === undefined || (now >= quarantine.until && !quarantine.isProbing)
  }

  isQuarantined (vm: VmId): boolean {
    return this.#quarantines.has(vm)
  }

  /** VMs whose quarantine has expired and that no task probes at present. */
  dueProbes (now: Instant): VmId[] {
    const due: VmId[] = []
    for (const [vm, { until, isProbing }] of this.#quarantines) {
      if (now >= until && !isProbing) due.push(vm)
    }
    return due
  }

  /** Records that a task was placed on a VM; on a quarantined VM it is the probe. */
  recordStart (vm: VmId): void {
    const quarantine = this.#quarantines.get(vm)
    if (quarantine !== undefined) quarantine.isProbing = true
  }

  /** Removes a VM that has left the cell. */
  delete (vm: VmId): void {
    this.#failedTasksByVm.delete(vm)
    this.#quarantines.delete(vm)
  }

  #recordSuccess (vm: VmId, kind: string): void {
    this.#failedTasksByVm.delete(vm)
    this.#quarantines.delete(vm)
    this.#failedVmsByKind.delete(kind)
    if (this.#provenKinds.size >= MAX_PROVEN_WORKLOADS) this.#provenKinds.clear()
    this.#provenKinds.add(kind)
  }

  #recordFailure (vm: VmId, task: Task, vmCount: number, now: Instant): void {
    const quarantine = this.#quarantines.get(vm)
    if (quarantine !== undefined) {
      quarantine.lengthMs = Math.min(2 * quarantine.lengthMs, MAX_QUARANTINE_MS)
      quarantine.until = (now + quarantine.lengthMs) as Instant
      quarantine.isProbing = false
      return
    }
    const kind = workloadKindOf(task.spec)
    const vms = this.#failedVmsByKind.get(kind) ?? new Set<VmId>()
    this.#failedVmsByKind.set(kind, vms.add(vm))
    if (vms.size >= FAILED_VMS_TO_BLAME_WORKLOAD) return
    const failed = this.#failedTasksByVm.get(vm) ?? new Set<TaskId | string>()
    // All tasks of a kind that has never finished may fail through their own fault, so they count as one failure.
    this.#failedTasksByVm.set(vm, failed.add(this.#provenKinds.has(kind) ? task.spec.id : kind))
    const isWithinShare = this.#quarantines.size + 1 <= Math.max(1, vmCount * MAX_QUARANTINED_SHARE)
    if (failed.size < FAILED_TASKS_TO_QUARANTINE || !isWithinShare) return
    this.#quarantines.set(vm, { until: (now + QUARANTINE_MS) as Instant, lengthMs: QUARANTINE_MS, isProbing: false })
  }

  #endProbe (vm: VmId): void {
    const quarantine = this.#quarantines.get(vm)
    if (quarantine !== undefined) quarantine.isProbing = false
  }
}
