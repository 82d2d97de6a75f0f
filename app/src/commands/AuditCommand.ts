/**
 * `auburnpin audit`: the audit trail.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { AuditEntry } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import { OperatorCommand } from './OperatorCommand.ts'

/** Shows who changed what and when. */
export class AuditCommand extends OperatorCommand {
  readonly usage = 'audit'
  readonly description = 'Show the audit trail of configuration changes'

  protected ask (client: OperatorClient): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', '/v1/audit')
  }

  protected format (answer: unknown): readonly string[] {
    const { entries } = answer as { entries: readonly AuditEntry[] }
    return entries.flatMap(entry => [
      `version ${entry.version}  ${new Date(entry.acceptedAt).toISOString()}  ${entry.operator}  note ${entry.note}`,
      ...entry.changes.map(change => `  ${change.action} ${change.section}.${change.name}`)
    ])
  }
}
