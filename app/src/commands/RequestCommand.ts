/**
 * Base class of commands that send one request to a member and print the response.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { EXIT_SUCCESS } from '../exitCodes.ts'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { OperatorCommand } from './OperatorCommand.ts'
import { printError, printLine } from './output.ts'

/** Prints the response as text or, with `--json`, as JSON. */
export abstract class RequestCommand extends OperatorCommand {
  /** Sends the request to the member. */
  protected abstract sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>>
  /** Formats the response as lines of text. */
  protected abstract format (response: unknown): readonly string[]

  protected async execute (client: OperatorClient, options: CommandOptions): Promise<number> {
    const isJson = options.json === true
    const response = await this.sendRequest(client, options)
    if (response.err) return printError(response.val, isJson)
    if (isJson) printLine(JSON.stringify(response.val))
    else for (const line of this.format(response.val)) printLine(line)
    return EXIT_SUCCESS
  }
}
