/**
 * Assignment of racks to cells.
 */
import type { ServiceName, WorkerId } from '@auburnpin/common'
import type { WorkerEntry } from '../jobs/types.ts'
import { encodedBytes } from './encodedBytes.ts'
import { addOffer, boundOffers, mergeOffers, type ServiceOffers } from './offers.ts'
import type { CellWorkers, Layout, ServiceOffer } from './types.ts'

/** A cell without workers. */
export const NO_WORKERS: CellWorkers = { racks: [], services: {}, epochOffsets: {} }

/** The layout of a deployment before its first worker is known: one cell without workers. */
export const EMPTY_LAYOUT: Layout = { version: 0, cells: [NO_WORKERS] }

/**
 * Key of a worker's rack, unique in the deployment. A worker without a rack counts as a rack of its own.
 *
 * @example
 * rackKey(entry) // 'derby/r1-3'
 */
export const rackKey = ({ id, zone, rack }: WorkerEntry): string => rack === '' ? `/${id}` : `${zone}/${rack}`

/** Longest key of a rack in bytes, as JSON: the names of the data centre and of the rack have at most 200 bytes each. */
const MAX_RACK_KEY_BYTES = 420

/** Shares of a row that the keys of racks and the offers of a cell take at most. */
const RACKS_SHARE = 1 / 2
const OFFERS_SHARE = 1 / 3

type NewRack = { readonly key: string, readonly zone: string, workers: number }

/**
 * Returns the layout with every rack of `entries` assigned to a cell; the same object if nothing has changed. Racks that
 * are assigned already stay where they are; `moveRack` moves one. New racks go
 * to the cell with the fewest workers, one data centre after another, so that each cell has some of every data centre.
 * There are as many cells as it takes for `workersPerCell` each. Racks of `usedWorkers`, which the owner of the first
 * cell may have sent orders to before there was a layout, go to the first cell. With several cells, which are stored, the
 * description of each fits into `maxRowBytes`: a rack that fits into no cell any more is not assigned, and one whose key
 * is too long is removed, as no worker has it.
 *
 * @example
 * const layout = assignRacks(EMPTY_LAYOUT, entries, new Set(), 250, 49_152)
 */
export const assignRacks = (layout: Layout, entries: Iterable<WorkerEntry>, usedWorkers: ReadonlySet<WorkerId>, workersPerCell: number, maxRowBytes = Infinity): Layout => {
  const workers = [...entries]
  const cellOfRack = new Map<string, number>()
  for (const [index, { racks }] of layout.cells.entries()) for (const rack of racks) cellOfRack.set(rack, index)
  const unassigned = workers.filter(entry => !cellOfRack.has(rackKey(entry)))
  const racks = layout.cells.map(cell => cell.racks.filter(hasSoundKey))
  const bytes = layout.cells.map(({ epochOffsets }, index) => encodedBytes(racks[index]) + encodedBytes(epochOffsets))
  const isFull = (cell: number, key: string): boolean => cellCount > 1 && (bytes[cell] ?? 0) + encodedBytes(key) > maxRowBytes * RACKS_SHARE
  const cellCount = Math.max(layout.cells.length, Math.ceil(workers.length / workersPerCell))
  while (racks.length < cellCount) racks.push([])
  if (unassigned.length > 0) {
    const assignTo = (cell: number, key: string): void => {
      if (cellOfRack.has(key) || !hasSoundKey(key) || isFull(cell, key)) return
      cellOfRack.set(key, cell)
      racks[cell]?.push(key)
      bytes[cell] = (bytes[cell] ?? 0) + encodedBytes(key) + ','.length
    }
    for (const entry of unassigned) if (usedWorkers.has(entry.id)) assignTo(0, rackKey(entry))
    const sizes = countWorkers(workers, cellOfRack, cellCount)
    for (const { key, workers: size } of newRacks(unassigned, cellOfRack)) {
      const open = sizes.map((workersOfCell, cell) => isFull(cell, key) ? Infinity : workersOfCell)
      const smallest = open.indexOf(Math.min(...open))
      if (open[smallest] === Infinity) continue
      assignTo(smallest, key)
      sizes[smallest] = (sizes[smallest] ?? 0) + size
    }
  }
  const offers = offersOf(workers, cellOfRack, racks.length)
  const cells = racks.map((ofCell, index) => {
    const workersOfCell = (): readonly WorkerEntry[] => workers.filter(entry => cellOfRack.get(rackKey(entry)) === index)
    return updateCell(layout.cells[index], ofCell, offers[index] ?? new Map(), workersOfCell, maxRowBytes * OFFERS_SHARE)
  })
  const isUnchanged = cells.length === layout.cells.length && cells.every((cell, index) => cell === layout.cells[index])
  return isUnchanged ? layout : { version: layout.version + 1, cells }
}

const hasSoundKey = (rack: string): boolean => encodedBytes(rack) <= MAX_RACK_KEY_BYTES

const countWorkers = (workers: readonly WorkerEntry[], cellOfRack: ReadonlyMap<string, number>, cellCount: number): number[] => {
  const sizes = new Array<number>(cellCount).fill(0)
  for (const entry of workers) {
    const cell = cellOfRack.get(rackKey(entry))
    if (cell !== undefined) sizes[cell] = (sizes[cell] ?? 0) + 1
  }
  return sizes
}

const newRacks = (unassigned: readonly WorkerEntry[], cellOfRack: ReadonlyMap<string, number>): readonly NewRack[] => {
  const racks = new Map<string, NewRack>()
  for (const entry of unassigned) {
    const key = rackKey(entry)
    if (cellOfRack.has(key)) continue
    const rack = racks.get(key) ?? { key, zone: entry.zone, workers: 0 }
    rack.workers++
    racks.set(key, rack)
  }
  return [...racks.values()].sort((one, other) => compareText(one.zone, other.zone) || compareText(one.key, other.key))
}

const offersOf = (workers: readonly WorkerEntry[], cellOfRack: ReadonlyMap<string, number>, cellCount: number): readonly ServiceOffers[] => {
  const offers = Array.from({ length: cellCount }, (): ServiceOffers => new Map())
  for (const entry of workers) {
    const ofCell = offers[cellOfRack.get(rackKey(entry)) ?? -1]
    if (ofCell !== undefined) addOffer(ofCell, entry)
  }
  return offers
}

// What a worker offered stays part of the offer when the worker leaves: most come back, and each change is written and read.
const updateCell = (before: CellWorkers | undefined, racks: readonly string[], offers: ServiceOffers, workersOfCell: () => readonly WorkerEntry[], maxOffersBytes: number): CellWorkers => {
  const services = new Map(Object.entries(before?.services ?? {}) as [ServiceName, ServiceOffer][])
  let isChanged = before === undefined || before.racks.length !== racks.length
  for (const [service, offer] of offers) {
    const known = services.get(service)
    const merged = known === undefined ? offer : mergeOffers(known, offer)
    if (merged === known) continue
    services.set(service, merged)
    isChanged = true
  }
  if (!isChanged && before !== undefined) return before
  const bounded = encodedBytes(Object.fromEntries(services)) <= maxOffersBytes ? services : boundOffers(services, workersOfCell(), maxOffersBytes)
  const epochOffsets = Object.fromEntries(Object.entries(before?.epochOffsets ?? {}).filter(([rack]) => hasSoundKey(rack)))
  const cell = { racks, services: Object.fromEntries(bounded), epochOffsets }
  return before !== undefined && JSON.stringify(cell) === JSON.stringify(before) ? before : cell
}

const compareText = (one: string, other: string): number => one < other ? -1 : Number(one > other)
