/**
 * An operation of the operators' HTTP API.
 */
import type { AuburnpinError, CellId, Clock, MemberId, Random, Result } from '@auburnpin/common'
import type { CellDirectory, ConfigurationFollower, EndpointDirectory, Membership, Peers } from '@auburnpin/cluster'
import type { TableStore, VmList } from '@auburnpin/ports'

/** Dependencies of the operations. */
export type ActionPorts = Readonly<{
  table: TableStore
  clock: Clock
  random: Random
  peers: Peers
  membership: Membership
  directory: CellDirectory
  configuration: ConfigurationFollower
  endpoints: EndpointDirectory
  cells: readonly CellId[]
  /** Cells of the data centres that are not evacuated. */
  openCells: () => readonly CellId[]
  vmList: VmList
}>

/** An authenticated request of an operator. */
export type ActionRequest = Readonly<{
  operator: string
  /** The path segment that matched `:id`, or an empty string. */
  id: string
  query: URLSearchParams
  headers: Readonly<Record<string, string | string[] | undefined>>
  body: unknown
}>

/** HTTP status and JSON body of the response. */
export type ActionResponse = Readonly<{ status: number, body: unknown }>

/** A named operation at one method and path; `:id` in the path matches one segment. */
export abstract class Action {
  abstract readonly name: string
  abstract readonly method: 'GET' | 'POST' | 'DELETE'
  abstract readonly path: string
  abstract run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>>
}

/** A member and the cell it owns. */
export type OwnedCell = Readonly<{ cell: CellId, owner: MemberId }>
