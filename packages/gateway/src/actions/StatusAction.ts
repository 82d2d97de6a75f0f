/**
 * `GET /v1/status`: members, cells, endpoints and the configuration in force.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { Action, type ActionAnswer, type ActionPorts } from './Action.ts'

/** Shows the region as this member sees it. */
export class StatusAction extends Action {
  readonly name = 'status'
  readonly method = 'GET'
  readonly path = '/v1/status'

  async run (ports: ActionPorts): Promise<Result<ActionAnswer, AuburnpinError>> {
    const { configuration, directory, membership, endpoints } = ports
    const body = {
      configVersion: configuration.current.version,
      members: membership.live,
      cells: [...directory.cells.values()].map(({ row }) => row),
      endpoints: endpoints.published.flatMap(notice => notice.endpoints)
    }
    return Ok({ status: 200, body })
  }
}
