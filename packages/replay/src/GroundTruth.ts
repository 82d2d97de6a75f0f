/**
 * The true interference and load of a trace, which only the oracle policy can read.
 */
import type { ServiceName } from '@auburnpin/common'
import { LOAD_BAND_BOUNDS } from './constants.ts'
import type { Trace } from './Trace.ts'
import type { TraceLineOf } from './traceSchema.ts'

/** Slowdowns of services by programs, and the services' load over time. */
export class GroundTruth {
  readonly #slowdowns = new Map<string, readonly number[]>()
  readonly #baseRatios = new Map<string, number>()
  readonly #objectivesMs = new Map<string, number>()
  readonly #loads = new Map<string, Array<TraceLineOf<'load'>>>()

  constructor (trace: Trace) {
    for (const { service, command, perCore } of trace.linesOf('slowdown')) this.#slowdowns.set(`${service}/${command}`, perCore)
    for (const { name, baseRatio, objectiveMs } of trace.linesOf('service')) {
      this.#baseRatios.set(name, baseRatio)
      this.#objectivesMs.set(name, objectiveMs)
    }
    for (const line of trace.linesOf('load')) this.#loads.set(line.service, [...this.#loads.get(line.service) ?? [], line])
  }

  /** Latency objective for the 99th percentile, in milliseconds. */
  objectiveMsOf (service: string): number {
    return this.#objectivesMs.get(service) ?? 0
  }

  /** Load per replica of a service; it changes linearly to each level that the trace states. */
  loadAt (service: string, atMs: number): number {
    let level = 0
    for (const line of this.#loads.get(service) ?? []) {
      if (line.atMs > atMs) break
      const elapsedShare = line.overMs === 0 ? 1 : Math.min(1, (atMs - line.atMs) / line.overMs)
      level += (line.level - level) * elapsedShare
    }
    return level
  }

  /** Latency ratio of a replica without neighbours: its 99th percentile over the objective. */
  baseRatio (service: ServiceName, load: number): number {
    return (this.#baseRatios.get(service) ?? 0) * (1 + load ** 3)
  }

  /** Share by which each core that a program uses increases response times. */
  slowdownPerCore (service: ServiceName, program: string, load: number): number {
    const perCore = this.#slowdowns.get(`${service}/${program}`)
    if (perCore === undefined) return 0
    let band = 0
    for (const bound of LOAD_BAND_BOUNDS) if (load >= bound) band++
    return perCore[band] ?? 0
  }
}

/** Name of the program that a command runs. */
export const programOf = (command: string): string => command.split(' ')[0] as string
