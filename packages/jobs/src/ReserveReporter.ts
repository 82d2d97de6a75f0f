/**
 * Logs and measures the workers that are reserved for short tasks.
 */
import type { Instant } from '@auburnpin/common'
import type { JobScheduler, ServiceReserve, DataCentreReserve } from '@auburnpin/core'
import type { OwnerPorts } from './OwnerPorts.ts'

const THOUSANDTHS_PER_CORE = 1_000

/**
 * Writes one record for each service whose reserve follows the measured demand, and one when it is the constant share
 * again; updates the gauges of the reserve.
 *
 * @example
 * const reporter = new ReserveReporter(ports, scheduler)
 * reporter.report(now)
 * reporter.stop()
 */
export class ReserveReporter {
  readonly #ports: Pick<OwnerPorts, 'log' | 'metrics'>
  readonly #scheduler: JobScheduler
  /** Services with gauges and their data centres, and those services whose last record shows a measured demand. */
  readonly #gauged = new Map<string, Set<string>>()
  readonly #measured = new Set<string>()

  constructor (ports: Pick<OwnerPorts, 'log' | 'metrics'>, scheduler: JobScheduler) {
    this.#ports = ports
    this.#scheduler = scheduler
  }

  report (now: Instant): void {
    const described = this.#scheduler.reserve.describe(this.#scheduler.workers.values(), now)
    for (const service of this.#gauged.keys()) if (!described.some(one => one.service === service)) this.#gauge(service, 0, 0, 0)
    for (const one of described) {
      this.#gauge(one.service, one.constant + one.added, one.usable, one.demand?.processors ?? 0, one.dataCentres)
      if (one.demand !== undefined) this.#write(one)
      else if (this.#measured.delete(one.service)) this.#ports.log.info('Short tasks find capacity without waiting; the constant share is reserved', { service: one.service, constant: one.constant })
    }
  }

  stop (): void {
    for (const service of this.#gauged.keys()) this.#gauge(service, 0, 0, 0)
  }

  #gauge (service: string, workers: number, usable: number, demand: number, dataCentres?: ReadonlyMap<string, DataCentreReserve>): void {
    const gaugedDataCentres = new Set([...this.#gauged.get(service) ?? [], ...dataCentres?.keys() ?? []])
    this.#gauged.set(service, gaugedDataCentres)
    for (const dataCentre of gaugedDataCentres) this.#ports.metrics.gauge('reserve.largestFree', (dataCentres?.get(dataCentre)?.largestFree ?? 0) / THOUSANDTHS_PER_CORE, { service, dataCentre })
    this.#ports.metrics.gauge('reserve.workers', workers, { service })
    this.#ports.metrics.gauge('reserve.usable', usable / THOUSANDTHS_PER_CORE, { service })
    this.#ports.metrics.gauge('reserve.demand', demand / THOUSANDTHS_PER_CORE, { service })
  }

  #write ({ service, demand, constant, added, usable, limit, dataCentres }: ServiceReserve): void {
    this.#measured.add(service)
    this.#ports.log.info('Workers are reserved for short tasks', {
      service,
      demand: demand?.processors,
      taskProcessors: demand?.taskProcessors,
      constant,
      added,
      usable,
      limit,
      scarcest: scarcestDataCentre(dataCentres),
      dataCentres: [...dataCentres].map(([dataCentre, { reserved, workers, usable, free, largestFree }]) => `${dataCentre}:${reserved}/${workers} usable=${usable} free=${free} largestFree=${largestFree}`).join('; ')
    })
  }
}

// The data centre whose workers have the least free processors on average.
const scarcestDataCentre = (dataCentres: ReadonlyMap<string, DataCentreReserve>): string | undefined => {
  let scarcest: string | undefined
  let least = Infinity
  for (const [dataCentre, { free, workers }] of dataCentres) {
    if (free / workers >= least) continue
    scarcest = dataCentre
    least = free / workers
  }
  return scarcest
}
