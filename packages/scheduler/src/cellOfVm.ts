/**
 * Which cell a VM belongs to.
 */
import { brand, rendezvousRank, type CellId, type DataCentre, type RackId } from '@auburnpin/common'

/** The cells of a region: some per data centre. */
export const cellsOfRegion = (dataCentres: readonly DataCentre[], cellsPerDataCentre: number): CellId[] =>
  dataCentres.flatMap(dataCentre => cellsOfDataCentre(dataCentre, cellsPerDataCentre))

/** All VMs of a rack belong to one cell of their data centre. */
export const cellOfVm = (dataCentre: DataCentre, rack: RackId, cellsPerDataCentre: number): CellId =>
  rendezvousRank(rack, cellsOfDataCentre(dataCentre, cellsPerDataCentre))[0] as CellId

const cellsOfDataCentre = (dataCentre: DataCentre, count: number): CellId[] =>
  Array.from({ length: count }, (_, index) => brand<CellId>(`${dataCentre}-${index}`))
