/**
 * Commands that ask a member once and print its answer.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { EXIT_DONE } from '../exitCodes.ts'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { OperatorCommand } from './OperatorCommand.ts'
import { printError, printLine } from './output.ts'

/** Prints what `ask` brings, for a person or as JSON. */
export abstract class QueryCommand extends OperatorCommand {
  /** Calls the member. */
  protected abstract ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>>
  /** Lines for a person. */
  protected abstract format (answer: unknown): readonly string[]

  protected async execute (client: OperatorClient, options: CommandOptions): Promise<number> {
    const isJson = options.json === true
    const answer = await this.ask(client, options)
    if (answer.err) return printError(answer.val, isJson)
    if (isJson) printLine(JSON.stringify(answer.val))
    else for (const line of this.format(answer.val)) printLine(line)
    return EXIT_DONE
  }
}
