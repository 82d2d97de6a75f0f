/**
 * `GET /v1/status`: members, cells, endpoints, tasks and the configuration in force.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import type { CellSummary, Configuration } from '@auburnpin/core'
import type { CellRow, MemberFigures, MemberRow } from '@auburnpin/cluster'
import { Action, type ActionResponse, type ActionPorts } from './Action.ts'
import { sendToOwner } from './sendToOwner.ts'

/** A cell's row and the summary of its tasks; `tasks` is `null` when the owner did not respond. */
export type CellStatus = CellRow & Readonly<{ tasks: CellSummary | null }>

/** An evacuated data centre: why, and since when in milliseconds since 1970. */
export type EvacuationStatus = Readonly<{ dataCentre: string, reason: string, since: number, note: string }>

/** Returns the state of the region in this member's view. */
export class StatusAction extends Action {
  readonly name = 'status'
  readonly method = 'GET'
  readonly path = '/v1/status'

  async run (ports: ActionPorts): Promise<Result<ActionResponse, AuburnpinError>> {
    const { configuration, directory, membership, endpoints } = ports
    const rows = [...directory.cells.values()].map(({ row }) => row)
    const body = {
      configVersion: configuration.current.version,
      drains: Object.keys(configuration.current.drains),
      evacuations: listEvacuations(configuration.current),
      members: membership.live,
      cells: await Promise.all(rows.map(row => summarise(ports, row))),
      figures: await readFigures(ports, membership.live),
      endpoints: endpoints.published.flatMap(notice => notice.endpoints)
    }
    return Ok({ status: 200, body })
  }
}

const listEvacuations = ({ evacuations }: Configuration): EvacuationStatus[] =>
  Object.entries(evacuations).map(([dataCentre, { value, changedBy }]) => ({ dataCentre, reason: value.reason, since: value.since, note: changedBy }))

const summarise = async (ports: ActionPorts, row: CellRow): Promise<CellStatus> => {
  const reply = await sendToOwner(ports, row.cell, { kind: 'summarise-cell', cell: row.cell })
  return { ...row, tasks: reply.ok && reply.val.kind === 'cell-summary' ? reply.val.summary : null }
}

/** Figures of the members that respond. */
const readFigures = async (ports: ActionPorts, members: readonly MemberRow[]): Promise<MemberFigures[]> => {
  const replies = await Promise.all(members.map(row => ports.peers.request(row.member, { kind: 'read-figures' })))
  return replies.flatMap(reply => reply.ok && reply.val.kind === 'figures' ? [reply.val.figures] : [])
}
