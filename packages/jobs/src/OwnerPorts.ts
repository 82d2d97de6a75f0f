/**
 * Dependencies of the owner of a cell.
 */
import type { Clock, Log, Metrics } from '@auburnpin/common'
import type { AdmissionMode } from './AdmissionMode.ts'
import type { CellChooser } from './CellChooser.ts'
import type { EvacuationList } from './EvacuationList.ts'
import type { ProcessUsage } from './ProcessUsage.ts'
import type { RowStore } from './RowStore.ts'
import type { WorkerCalls } from './WorkerCalls.ts'
import type { WorkerList } from './WorkerList.ts'

export type OwnerPorts = Readonly<{
  store: RowStore
  workerList: WorkerList
  calls: WorkerCalls
  clock: Clock
  log: Log
  metrics: Metrics
  evacuations: EvacuationList
  /** How long clients can read the phase of a finished job, in milliseconds. */
  finishedJobRetentionMs: number
  /** Workers of one cell; more workers are divided into several cells. */
  workersPerCell: number
  /** Largest share of the processors of a service that is reserved while short tasks wait; if absent, the constant share is reserved. */
  maxReservedShare?: number | undefined
  /** How many times as long a task takes away from the rack of its data or of its step; absent or 1: tasks don't wait for a rack. */
  remoteFactor?: number
  /** What new jobs are refused for. */
  admission: AdmissionMode
  /** Absent if it can't be measured. */
  usage?: ProcessUsage
  /** What is published of the other cells. */
  cells: CellChooser
}>
