/**
 * `auburnpin status`: members, cells, endpoints, queue and measures at a glance.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import { formatStatus, type Status } from './formatStatus.ts'
import { QueryCommand } from './QueryCommand.ts'

/** Shows the region as one member sees it. */
export class StatusCommand extends QueryCommand {
  readonly usage = 'status'
  readonly description = 'Show members, cells, endpoints, queue and measures'

  protected ask (client: OperatorClient): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', '/v1/status')
  }

  protected format (answer: unknown): readonly string[] {
    return formatStatus(answer as Status, Date.now())
  }
}
