/**
 * `auburnpin explain`: explains the state and placement of a task.
 */
import type { Argv } from 'yargs'
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { RequestCommand } from './RequestCommand.ts'

/** Prints one sentence with the cause of the task's state and what would change it. */
export class ExplainCommand extends RequestCommand {
  readonly usage = 'explain <task>'
  readonly description = 'Explain why a task waits, runs on its VM, was evicted or can\'t run'

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .positional('task', { type: 'string', demandOption: true, describe: 'Job id, watch, or replica such as stockline.0' })
      .example('$0 explain cream-watch', 'Explain a standing watch')
  }

  protected sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    return client.call('GET', `/v1/jobs/${encodeURIComponent(String(options.task))}`)
  }

  protected format (response: unknown): readonly string[] {
    return [(response as { explanation: string }).explanation]
  }
}
