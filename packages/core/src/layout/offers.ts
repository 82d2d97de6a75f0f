/**
 * What the workers of a cell offer, by service.
 */
import type { ServiceName } from '@auburnpin/common'
import type { WorkerEntry } from '../jobs/types.ts'
import { encodedBytes } from './encodedBytes.ts'
import type { CellWorkers, ServiceOffer } from './types.ts'

/** Offers of one cell; a service may have the name of a property that every object has, so that no plain object holds them. */
export type ServiceOffers = Map<ServiceName, ServiceOffer>

const NO_OFFER: ServiceOffer = { processors: 0, memoryMb: 0, accelerators: 0, labels: [] }

/**
 * What a cell offers of a service; `undefined` if none of its workers has ever belonged to it.
 *
 * @example
 * offerOf(layout.cells[0], entry.service)?.labels // ['large', 'r1-3']
 */
export const offerOf = (cell: CellWorkers | undefined, service: ServiceName): ServiceOffer | undefined =>
  cell !== undefined && Object.hasOwn(cell.services, service) ? cell.services[service] : undefined

/**
 * Adds what a worker offers.
 *
 * @example
 * for (const entry of entries) addOffer(offers, entry)
 */
export const addOffer = (offers: ServiceOffers, { service, processors, memoryMb, accelerators, labels }: WorkerEntry): void => {
  const known = offers.get(service) ?? NO_OFFER
  const merged = mergeOffers(known, { processors, memoryMb, accelerators, labels })
  if (merged !== known || !offers.has(service)) offers.set(service, merged)
}

/**
 * The offer that covers both; the first one itself if it covers the second.
 *
 * @example
 * mergeOffers(known, offer) === known
 */
export const mergeOffers = (known: ServiceOffer, offer: ServiceOffer): ServiceOffer => {
  if (covers(known, offer)) return known
  return {
    processors: Math.max(known.processors, offer.processors),
    memoryMb: Math.max(known.memoryMb, offer.memoryMb),
    accelerators: Math.max(known.accelerators, offer.accelerators),
    labels: [...new Set([...known.labels, ...offer.labels])].sort((one, other) => one < other ? -1 : Number(one > other))
  }
}

/** Whether an offer has at least what another one, or a worker, has. */
export const covers = (known: ServiceOffer, { processors, memoryMb, accelerators, labels }: ServiceOffer): boolean =>
  processors <= known.processors && memoryMb <= known.memoryMb && accelerators <= known.accelerators && labels.every(label => known.labels.includes(label))

/**
 * The offers in at most `maxBytes` of JSON, from the present workers of a cell: of services and labels, those that most
 * workers have. A label that is left out keeps no job from the service's cells, as a job that no cell can run for certain goes to
 * one with workers of its service.
 *
 * @example
 * boundOffers(offers, workersOfCell, 16_000)
 */
export const boundOffers = (offers: ServiceOffers, workers: readonly WorkerEntry[], maxBytes: number): ServiceOffers => {
  if (encodedBytes(Object.fromEntries(offers)) <= maxBytes) return offers
  const bounded: ServiceOffers = new Map()
  let bytes = 0
  for (const [service, ofService] of mostFrequent(workers, ({ service }) => [service])) {
    const offer = ofService.reduce((merged, { processors, memoryMb, accelerators }) => mergeOffers(merged, { processors, memoryMb, accelerators, labels: [] }), NO_OFFER)
    bytes += encodedBytes({ [service]: offer })
    if (bytes > maxBytes) break
    const labels: string[] = []
    for (const [label] of mostFrequent(ofService, worker => worker.labels)) {
      const labelBytes = encodedBytes(label) + ','.length
      if (bytes + labelBytes > maxBytes) break
      bytes += labelBytes
      labels.push(label)
    }
    bounded.set(service, { ...offer, labels: labels.sort() })
  }
  return bounded
}

// The workers with each name, the name with most workers first.
const mostFrequent = <Name extends string>(workers: readonly WorkerEntry[], namesOf: (worker: WorkerEntry) => readonly Name[]): readonly (readonly [Name, readonly WorkerEntry[]])[] => {
  const groups = new Map<Name, WorkerEntry[]>()
  for (const worker of workers) {
    for (const name of namesOf(worker)) {
      const group = groups.get(name)
      if (group === undefined) groups.set(name, [worker])
      else group.push(worker)
    }
  }
  return [...groups].sort(([one, ofOne], [other, ofOther]) => ofOther.length - ofOne.length || (one < other ? -1 : 1))
}
