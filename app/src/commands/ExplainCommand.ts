/**
 * `auburnpin explain`: why a task is where it is.
 */
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { QueryCommand } from './QueryCommand.ts'

/** Prints one sentence: the cause, and what would change it. */
export class ExplainCommand extends QueryCommand {
  readonly usage = 'explain <task>'
  readonly description = 'Say why a task waits, sits, was evicted or can\'t run'

  protected override describeOwn (argv: Argv): Argv {
    return argv
      .positional('task', { type: 'string', demandOption: true, describe: 'Job id, watch, or replica such as stockline.0' })
      .example('$0 explain cream-watch', 'Explain a standing watch')
  }

  protected ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', `/v1/jobs/${encodeURIComponent(String(options.task))}`)
  }

  protected format (answer: unknown): readonly string[] {
    return [(answer as { explanation: string }).explanation]
  }
}
