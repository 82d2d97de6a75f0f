/**
 * `auburnpin drain`: drains a VM, or undoes the drain.
 */
import { randomUUID } from 'node:crypto'
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { formatChange } from './formatChange.ts'
import { RequestCommand } from './RequestCommand.ts'
import type { ConfigurationChange } from '@auburnpin/core'

type DrainResult = Readonly<{ version: number, changes: readonly ConfigurationChange[] }>

/** Declares the drain in a release note of its own, so that it is durable and recorded in the audit trail. */
export class DrainCommand extends RequestCommand {
  readonly usage = 'drain <vm>'
  readonly description = 'Move all work off a VM and keep it empty, or --undo it'

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .positional('vm', { type: 'string', demandOption: true, describe: 'VM id of the VM list' })
      .option('reason', { type: 'string', describe: 'Why, for the audit trail' })
      .option('undo', { type: 'boolean', default: false, describe: 'Let the VM be used again' })
      .example('$0 drain vm-007 --reason "fan is loud"', 'Empty a VM')
      .example('$0 drain vm-007 --undo', 'Use it again')
  }

  protected sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const vm = String(options.vm)
    const id = `${options.undo === true ? 'undrain' : 'drain'}-${randomUUID()}`
    const drain = typeof options.reason === 'string' ? { reason: options.reason } : {}
    const change = options.undo === true ? { withdrawn: { drains: [vm] } } : { added: { drains: { [vm]: drain } } }
    return client.call('POST', '/v1/notes', { id, ...change })
  }

  protected format (response: unknown): readonly string[] {
    const { version, changes } = response as DrainResult
    return [...changes.flatMap(formatChange), `Accepted as version ${version}; \`auburnpin status\` shows the drains.`]
  }
}
