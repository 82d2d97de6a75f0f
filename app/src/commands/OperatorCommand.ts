/**
 * Commands that talk to a running member.
 */
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import { EXIT_DONE } from '../exitCodes.ts'
import { OperatorClient } from '../OperatorClient.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printError, printLine } from './output.ts'

const DEFAULT_ADDRESS = '127.0.0.1:8081'

/** Adds `--address`, `--token` and `--json`, and prints what `ask` brings. */
export abstract class OperatorCommand extends Command {
  /** Calls the member. */
  protected abstract ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>>
  /** Lines for a person. */
  protected abstract format (answer: unknown): readonly string[]

  /** Declares the options of this command alone. */
  protected describeOwn (argv: Argv): Argv {
    return argv
  }

  describe (argv: Argv): Argv {
    return this.describeOwn(argv)
      .option('address', { type: 'string', default: DEFAULT_ADDRESS, describe: 'Operators\' listener of any member' })
      .option('token', { type: 'string', default: process.env.AUBURNPIN_TOKEN ?? '', defaultDescription: '$AUBURNPIN_TOKEN', describe: 'Operator token' })
      .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  }

  async run (options: CommandOptions): Promise<number> {
    const client = new OperatorClient(String(options.address), String(options.token))
    const answer = await this.ask(client, options)
    client.close()
    if (answer.err) return printError(answer.val)
    if (options.json === true) printLine(JSON.stringify(answer.val))
    else for (const line of this.format(answer.val)) printLine(line)
    return EXIT_DONE
  }
}
