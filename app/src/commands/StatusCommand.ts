/**
 * `auburnpin status`: members, cells and endpoints at a glance.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { CellRow, MemberRow } from '@auburnpin/cluster'
import type { Endpoint } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import { OperatorCommand } from './OperatorCommand.ts'

type Status = Readonly<{ configVersion: number, members: readonly MemberRow[], cells: readonly CellRow[], endpoints: readonly Endpoint[] }>

/** Shows the region as one member sees it. */
export class StatusCommand extends OperatorCommand {
  readonly usage = 'status'
  readonly description = 'Show members, cells and endpoints'

  protected ask (client: OperatorClient): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', '/v1/status')
  }

  protected format (answer: unknown): readonly string[] {
    const status = answer as Status
    return [
      `configuration  version ${status.configVersion}`,
      ...status.members.map(row => `member  ${row.member.padEnd(20)} ${row.dataCentre.padEnd(14)} version ${row.configVersion}${row.isLeaving ? ' leaving' : ''}`),
      ...status.cells.map(row => `cell    ${row.cell.padEnd(20)} epoch ${String(row.epoch).padEnd(8)} ${row.owner ?? 'no owner'}`),
      `endpoints  ${status.endpoints.filter(endpoint => !endpoint.isLeaving).length}`
    ]
  }
}
