/**
 * Assignment of racks to cells.
 */
import type { ServiceName, WorkerId } from '@auburnpin/common'
import type { WorkerEntry } from '../jobs/types.ts'
import { addOffer, mergeOffers, type ServiceOffers } from './offers.ts'
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

type NewRack = { readonly key: string, readonly zone: string, workers: number }

/**
 * Returns the layout with every rack of `entries` assigned to a cell; the same object if nothing has changed. Racks that
 * are assigned already stay where they are; `moveRack` moves one. New racks go
 * to the cell with the fewest workers, one data centre after another, so that each cell has some of every data centre.
 * There are as many cells as it takes for `workersPerCell` each. Racks of `usedWorkers`, which the owner of the first
 * cell may have sent orders to before there was a layout, go to the first cell.
 *
 * @example
 * const layout = assignRacks(EMPTY_LAYOUT, entries, new Set(), 250)
 */
export const assignRacks = (layout: Layout, entries: Iterable<WorkerEntry>, usedWorkers: ReadonlySet<WorkerId>, workersPerCell: number): Layout => {
  const workers = [...entries]
  const cellOfRack = new Map<string, number>()
  for (const [index, { racks }] of layout.cells.entries()) for (const rack of racks) cellOfRack.set(rack, index)
  const unassigned = workers.filter(entry => !cellOfRack.has(rackKey(entry)))
  const racks = layout.cells.map(cell => [...cell.racks])
  const cellCount = Math.max(layout.cells.length, Math.ceil(workers.length / workersPerCell))
  while (racks.length < cellCount) racks.push([])
  if (unassigned.length > 0) {
    for (const entry of unassigned) {
      if (usedWorkers.has(entry.id)) assign(racks, cellOfRack, rackKey(entry), 0)
    }
    const sizes = countWorkers(workers, cellOfRack, cellCount)
    for (const { key, workers: size } of newRacks(unassigned, cellOfRack)) {
      const smallest = sizes.indexOf(Math.min(...sizes))
      assign(racks, cellOfRack, key, smallest)
      sizes[smallest] = (sizes[smallest] ?? 0) + size
    }
  }
  const offers = offersOf(workers, cellOfRack, racks.length)
  const cells = racks.map((ofCell, index) => updateCell(layout.cells[index], ofCell, offers[index] ?? new Map()))
  const isUnchanged = cells.length === layout.cells.length && cells.every((cell, index) => cell === layout.cells[index])
  return isUnchanged ? layout : { version: layout.version + 1, cells }
}

const assign = (racks: string[][], cellOfRack: Map<string, number>, key: string, cell: number): void => {
  if (cellOfRack.has(key)) return
  cellOfRack.set(key, cell)
  racks[cell]?.push(key)
}

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
const updateCell = (before: CellWorkers | undefined, racks: readonly string[], offers: ServiceOffers): CellWorkers => {
  const services = new Map(Object.entries(before?.services ?? {}) as [ServiceName, ServiceOffer][])
  let isChanged = before === undefined || before.racks.length !== racks.length
  for (const [service, offer] of offers) {
    const known = services.get(service)
    const merged = known === undefined ? offer : mergeOffers(known, offer)
    if (merged === known) continue
    services.set(service, merged)
    isChanged = true
  }
  return isChanged || before === undefined ? { racks, services: Object.fromEntries(services), epochOffsets: before?.epochOffsets ?? {} } : before
}

const compareText = (one: string, other: string): number => one < other ? -1 : Number(one > other)
