/**
 * The truth about interference and load, which no policy but the oracle sees.
 */
import type { ServiceName } from '@auburnpin/common'
import { SLOWDOWN_BANDS } from './constants.ts'
import type { Trace } from './Trace.ts'
import type { TraceLineOf } from './traceSchema.ts'

/** Pairwise slowdowns and the services' load over time. */
export class HiddenTable {
  readonly #slowdowns = new Map<string, readonly number[]>()
  readonly #baseRatios = new Map<string, number>()
  readonly #objectives = new Map<string, number>()
  readonly #loads = new Map<string, Array<TraceLineOf<'load'>>>()

  constructor (trace: Trace) {
    for (const { service, command, perCore } of trace.of('slowdown')) this.#slowdowns.set(`${service}/${command}`, perCore)
    for (const { name, baseRatio, objectiveMs } of trace.of('service')) {
      this.#baseRatios.set(name, baseRatio)
      this.#objectives.set(name, objectiveMs)
    }
    for (const line of trace.of('load')) this.#loads.set(line.service, [...this.#loads.get(line.service) ?? [], line])
  }

  /** Objective for the 99th percentile, in milliseconds. */
  objectiveOf (service: string): number {
    return this.#objectives.get(service) ?? 0
  }

  /** A service's load per replica: it goes in a straight line to each stated level. */
  loadAt (service: string, atMs: number): number {
    let level = 0
    for (const line of this.#loads.get(service) ?? []) {
      if (line.atMs > atMs) break
      const done = line.overMs === 0 ? 1 : Math.min(1, (atMs - line.atMs) / line.overMs)
      level += (line.level - level) * done
    }
    return level
  }

  /** Ratio of a replica on its own. */
  baseRatio (service: ServiceName, load: number): number {
    return (this.#baseRatios.get(service) ?? 0) * (1 + load ** 3)
  }

  /** Share that one core in use of a program adds to answer times. */
  slowdownPerCore (service: ServiceName, program: string, load: number): number {
    const perCore = this.#slowdowns.get(`${service}/${program}`)
    if (perCore === undefined) return 0
    let band = 0
    for (const upTo of SLOWDOWN_BANDS) if (load >= upTo) band++
    return perCore[band] ?? 0
  }
}

/** The program that a command runs. */
export const programOf = (command: string): string => command.split(' ')[0] as string
