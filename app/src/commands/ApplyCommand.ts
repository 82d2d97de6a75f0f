/**
 * `auburnpin apply`: applies a release note.
 */
import type { Argv } from 'yargs'
import { noteSchema, type ConfigurationChange } from '@auburnpin/core'
import { EXIT_SUCCESS, EXIT_UNKNOWN } from '../exitCodes.ts'
import type { OperatorClient } from '../OperatorClient.ts'
import { readYamlFile } from '../settings/readYamlFile.ts'
import { awaitInForce, formatInForce, type InForceCount } from './awaitInForce.ts'
import type { CommandOptions } from './Command.ts'
import { formatChange } from './formatChange.ts'
import { OperatorCommand } from './OperatorCommand.ts'
import { endProgress, printError, printFaults, printLine, showProgress } from './output.ts'

type Difference = Readonly<{ changes: readonly ConfigurationChange[] }>
type Acceptance = Difference & Readonly<{ version: number, isRepeat: boolean }>

const DEFAULT_WAIT_SECONDS = 30

/** Shows the difference, applies the note, then waits until it is in force at all members. */
export class ApplyCommand extends OperatorCommand {
  readonly usage = 'apply <note>'
  readonly description = 'Apply a release note'

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .positional('note', { type: 'string', demandOption: true, describe: 'Release note (YAML)' })
      .option('dry-run', { type: 'boolean', default: false, describe: 'Show the difference without applying it' })
      .option('wait', { type: 'number', default: DEFAULT_WAIT_SECONDS, describe: 'Seconds to wait until it is in force everywhere; 0 waits not at all' })
      .example('$0 apply note.yaml --dry-run', 'Show what the note would change')
      .example('$0 apply note.yaml', 'Apply it, and wait until it is in force')
      .epilogue('Exit codes: 0 done, 2 invalid note, 3 conflict with another note, 4 outcome unknown or not yet in force everywhere.')
  }

  protected async execute (client: OperatorClient, options: CommandOptions): Promise<number> {
    const isJson = options.json === true
    const note = readYamlFile(String(options.note), noteSchema)
    if (note.err) return printFaults(note.val, isJson)
    const difference = await client.call<Difference>('POST', '/v1/notes?dry-run=true', note.val)
    if (difference.err) return printError(difference.val, isJson)
    if (!isJson) for (const line of difference.val.changes.flatMap(formatChange)) printLine(line)
    if (options.dryRun === true) return this.#endDryRun(difference.val, isJson)
    const accepted = await client.call<Acceptance>('POST', '/v1/notes', note.val)
    if (accepted.err) return printError(accepted.val, isJson)
    if (!isJson) printLine(accepted.val.isRepeat ? `Was accepted before as version ${accepted.val.version}.` : `Accepted as version ${accepted.val.version}.`)
    return await this.#awaitInForce(client, accepted.val, Number(options.wait), isJson)
  }

  #endDryRun (difference: Difference, isJson: boolean): number {
    printLine(isJson ? JSON.stringify(difference) : 'Dry run: nothing was applied.')
    return EXIT_SUCCESS
  }

  async #awaitInForce (client: OperatorClient, accepted: Acceptance, waitSeconds: number, isJson: boolean): Promise<number> {
    const inForce = waitSeconds > 0 ? await awaitInForce(client, accepted.version, waitSeconds, state => showProgress(formatInForce(state))) : undefined
    endProgress()
    if (isJson) printLine(JSON.stringify({ ...accepted, inForce }))
    else if (inForce !== undefined) printLine(formatInForce(inForce))
    return inForce === undefined || isEverywhere(inForce) ? EXIT_SUCCESS : EXIT_UNKNOWN
  }
}

const isEverywhere = (inForce: InForceCount): boolean => inForce.members > 0 && inForce.reached === inForce.members
