/**
 * Base class of the commands that close a data centre for new work and open it again.
 */
import { randomUUID } from 'node:crypto'
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { ConfigurationChange } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { formatChange } from './formatChange.ts'
import { RequestCommand } from './RequestCommand.ts'

type ChangeResult = Readonly<{ version: number, changes: readonly ConfigurationChange[] }>

/** Sends a release note of its own, so that the change is durable, in force at every member and in the audit trail. */
export abstract class DataCentreCommand extends RequestCommand {
  /** First part of the note's id. */
  protected abstract readonly verb: string
  /** What the note adds or withdraws. */
  protected abstract changeOf (dataCentre: string, reason: string): Readonly<Record<string, unknown>>

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .positional('data-centre', { type: 'string', demandOption: true, describe: 'Name of the data centre' })
      .option('reason', { type: 'string', demandOption: true, describe: 'Why, for the audit trail' })
      .option('base', { type: 'number', describe: 'Version that `status` showed; a later evacuation of the data centre is a conflict' })
  }

  protected sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const reason = String(options.reason)
    const id = `${this.verb}-${randomUUID()}`
    const base = typeof options.base === 'number' ? { base: options.base } : {}
    return client.call('POST', '/v1/notes', { id, reason, ...base, ...this.changeOf(String(options.dataCentre), reason) })
  }

  protected format (response: unknown): readonly string[] {
    const { version, changes } = response as ChangeResult
    return [...changes.flatMap(formatChange), `Accepted as version ${version}; \`auburnpin status\` shows the evacuated data centres.`]
  }
}
