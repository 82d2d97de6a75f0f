/**
 * Base class of commands that send requests to a running member.
 */
import type { Argv } from 'yargs'
import { OperatorClient } from '../OperatorClient.ts'
import { Command, type CommandOptions } from './Command.ts'

const DEFAULT_ADDRESS = '127.0.0.1:8081'

/** Declares `--address`, `--token` and `--json`, and creates the client. */
export abstract class OperatorCommand extends Command {
  /** Runs the command; resolves to the exit code. */
  protected abstract execute (client: OperatorClient, options: CommandOptions): Promise<number>

  /** Declares options and positional arguments that only this command has. */
  protected defineCommandOptions (argv: Argv): Argv {
    return argv
  }

  defineOptions (argv: Argv): Argv {
    return this.defineCommandOptions(argv)
      .option('address', { type: 'string', default: process.env.AUBURNPIN_ADDRESS ?? DEFAULT_ADDRESS, defaultDescription: `$AUBURNPIN_ADDRESS or ${DEFAULT_ADDRESS}`, describe: 'Operators\' listener of any member' })
      .option('token', { type: 'string', default: process.env.AUBURNPIN_TOKEN ?? '', defaultDescription: '$AUBURNPIN_TOKEN', describe: 'Operator token' })
      .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  }

  async run (options: CommandOptions): Promise<number> {
    const client = new OperatorClient(String(options.address), String(options.token))
    try {
      return await this.execute(client, options)
    } finally {
      client.close()
    }
  }
}
