/**
 * `auburnpin status`: shows members, cells, endpoints, queues and metrics.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import { formatStatus, type Status } from './formatStatus.ts'
import { RequestCommand } from './RequestCommand.ts'

/** Shows the region's status as one member reports it. */
export class StatusCommand extends RequestCommand {
  readonly usage = 'status'
  readonly description = 'Show members, cells, endpoints, queue and measures'

  protected sendRequest (client: OperatorClient): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', '/v1/status')
  }

  protected format (response: unknown): readonly string[] {
    return formatStatus(response as Status, Date.now())
  }
}
