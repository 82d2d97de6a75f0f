/**
 * Dependencies of the owner of a cell.
 */
import type { Clock, Log, Metrics } from '@auburnpin/common'
import type { CellChooser } from './CellChooser.ts'
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
  /** How long clients can read the phase of a finished job, in milliseconds. */
  finishedJobRetentionMs: number
  /** Workers of one cell; more workers are divided into several cells. */
  workersPerCell: number
  /** Whether owners publish how long new jobs would wait, for admission control. */
  areWaitsPublished?: boolean
  /** What is published of the other cells. */
  cells: CellChooser
}>
