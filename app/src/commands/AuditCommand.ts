/**
 * `auburnpin audit`: shows the audit trail.
 */
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { AuditEntry } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { formatChange } from './formatChange.ts'
import { RequestCommand } from './RequestCommand.ts'

const DEFAULT_LIMIT = 20

type AuditPage = Readonly<{ entries: readonly AuditEntry[], next: number | null }>

/** Lists who changed what and when, newest first. */
export class AuditCommand extends RequestCommand {
  readonly usage = 'audit'
  readonly description = 'Show the audit trail of configuration changes, newest first'

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .option('limit', { type: 'number', default: DEFAULT_LIMIT, describe: 'Entries on this page' })
      .option('before', { type: 'number', describe: 'Only versions below this one' })
      .example('$0 audit --limit 5', 'The last five changes')
      .example('$0 audit --before 40', 'The changes before version 40')
  }

  protected sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const before = options.before === undefined ? '' : `&before=${Number(options.before)}`
    return client.call('GET', `/v1/audit?limit=${Number(options.limit)}${before}`)
  }

  protected format (response: unknown): readonly string[] {
    const { entries, next } = response as AuditPage
    const lines = entries.flatMap(entry => [
      `version ${entry.version}  ${new Date(entry.acceptedAt).toISOString()}  ${entry.operator}  note ${entry.note}`,
      ...(entry.reason === undefined ? [] : [`  reason: ${entry.reason}`]),
      ...entry.changes.flatMap(formatChange).map(line => `  ${line}`)
    ])
    return next === null ? lines : [...lines, `Older: auburnpin audit --before ${next}`]
  }
}
