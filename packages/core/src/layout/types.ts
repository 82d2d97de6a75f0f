/**
 * Division of a deployment's workers into cells, each scheduled by an owner of its own.
 */
import type { ServiceName } from '@auburnpin/common'

/** What the workers of one service in a cell can run at most; used to choose the cell of a job. */
export type ServiceOffer = Readonly<{
  /** Of the largest worker, in thousandths of a core. */
  processors: number
  memoryMb: number
  accelerators: number
  labels: readonly string[]
}>

/** The workers of one cell. */
export type CellWorkers = Readonly<{
  /** Keys of the racks whose workers belong to the cell; see `rackKey`. */
  racks: readonly string[]
  services: Readonly<Record<ServiceName, ServiceOffer>>
  /**
   * For each rack that came from another cell: what is added to the epochs of this cell's terms, so that its workers take
   * orders of the new owner for newer than those of the old one.
   */
  epochOffsets: Readonly<Record<string, number>>
}>

/** The cells of a deployment, by their index. Racks only move from the first cell to another, as the deployment grows. */
export type Layout = Readonly<{
  /** Rises with each change. */
  version: number
  cells: readonly CellWorkers[]
}>
