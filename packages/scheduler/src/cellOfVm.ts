/**
 * Mapping of VMs to cells.
 */
import { brand, rendezvousRank, type CellId, type DataCentre, type RackId } from '@auburnpin/common'

/** Lists the cells of a region, the same number for each data centre. */
export const cellsOfRegion = (dataCentres: readonly DataCentre[], cellsPerDataCentre: number): CellId[] =>
  dataCentres.flatMap(dataCentre => cellsOfDataCentre(dataCentre, cellsPerDataCentre))

/** Returns the cell of a rack; all VMs of a rack belong to the same cell of their data centre. */
export const cellOfVm = (dataCentre: DataCentre, rack: RackId, cellsPerDataCentre: number): CellId =>
  rendezvousRank(rack, cellsOfDataCentre(dataCentre, cellsPerDataCentre))[0] as CellId

const cellsOfDataCentre = (dataCentre: DataCentre, count: number): CellId[] =>
  Array.from({ length: count }, (_, index) => brand<CellId>(`${dataCentre}-${index}`))
