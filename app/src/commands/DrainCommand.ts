/**
 * `auburnpin drain`: empties a VM.
 */
import { randomUUID } from 'node:crypto'
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { describeChange } from './describeChange.ts'
import { QueryCommand } from './QueryCommand.ts'
import type { ConfigurationChange } from '@auburnpin/core'

type Drained = Readonly<{ version: number, changes: readonly ConfigurationChange[] }>

/** Declares the drain by a release note of its own, so that it lasts and stands in the audit trail. */
export class DrainCommand extends QueryCommand {
  readonly usage = 'drain <vm>'
  readonly description = 'Move all work off a VM and keep it empty, or --undo it'

  protected override describeOwn (argv: Argv): Argv {
    return argv
      .positional('vm', { type: 'string', demandOption: true, describe: 'VM id of the VM list' })
      .option('reason', { type: 'string', describe: 'Why, for the audit trail' })
      .option('undo', { type: 'boolean', default: false, describe: 'Let the VM be used again' })
      .example('$0 drain vm-007 --reason "fan is loud"', 'Empty a VM')
      .example('$0 drain vm-007 --undo', 'Use it again')
  }

  protected ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const vm = String(options.vm)
    const id = `${options.undo === true ? 'undrain' : 'drain'}-${randomUUID()}`
    const drain = typeof options.reason === 'string' ? { reason: options.reason } : {}
    const change = options.undo === true ? { withdrawn: { drains: [vm] } } : { added: { drains: { [vm]: drain } } }
    return client.call('POST', '/v1/notes', { id, ...change })
  }

  protected format (answer: unknown): readonly string[] {
    const { version, changes } = answer as Drained
    return [...changes.flatMap(describeChange), `Accepted as version ${version}; \`auburnpin status\` shows the drains.`]
  }
}
