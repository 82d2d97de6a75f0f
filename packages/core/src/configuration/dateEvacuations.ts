/**
 * Dates the evacuations of a merged configuration.
 */
import type { DataCentre } from '@auburnpin/common'
import type { Configuration, Declared, Evacuation } from './types.ts'

/**
 * Returns `merged` with the time of acceptance, in milliseconds since 1970, in every evacuation that `current` does not
 * have. A note carries no times, as the clock of the operator's machine may be wrong.
 *
 * @example
 * const dated = dateEvacuations(current, mergeNote(current, note, base).unwrap().configuration, clock.wallTime())
 */
export const dateEvacuations = (current: Configuration, merged: Configuration, acceptedAt: number): Configuration => {
  const evacuations: Record<DataCentre, Declared<Evacuation>> = {}
  for (const [name, declared] of Object.entries(merged.evacuations)) {
    const dataCentre = name as DataCentre
    const since = current.evacuations[dataCentre]?.value.since ?? acceptedAt
    evacuations[dataCentre] = { ...declared, value: { ...declared.value, since } }
  }
  return { ...merged, evacuations }
}
