/**
 * Entries of workers that only the record of an earlier owner names.
 */
import type { WorkerEntry } from '@auburnpin/core'
import type { UsedWorker } from './rows.ts'

/**
 * Placeholder entry of a worker that an earlier owner used; the worker gets no work until the list contains it.
 *
 * @example
 * scheduler.restoreWorker(unlistedEntry(usedWorker), now)
 */
export const unlistedEntry = ({ id, incarnation, address, service }: UsedWorker): WorkerEntry =>
  ({ id, incarnation, address, service, zone: '', rack: '', isDraining: false, labels: [], processors: 0, memoryMb: 0, accelerators: 0 })
