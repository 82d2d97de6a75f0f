/**
 * `auburnpin apply`: applies a release note.
 */
import type { Argv } from 'yargs'
import { AuburnpinError, Err, type Result } from '@auburnpin/common'
import { noteSchema, type ConfigurationChange } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import { formatFault } from '../settings/FileFault.ts'
import { readYamlFile } from '../settings/readYamlFile.ts'
import type { CommandOptions } from './Command.ts'
import { OperatorCommand } from './OperatorCommand.ts'

type Applied = Readonly<{ version?: number, changes: readonly ConfigurationChange[], isRepeat?: boolean }>

/** Sends the note, or with `--dry-run` only shows what it would change. */
export class ApplyCommand extends OperatorCommand {
  readonly usage = 'apply <note>'
  readonly description = 'Apply a release note'

  protected override describeOwn (argv: Argv): Argv {
    return argv
      .positional('note', { type: 'string', demandOption: true, describe: 'Release note (YAML)' })
      .option('dry-run', { type: 'boolean', default: false, describe: 'Show the changes without applying them' })
      .example('$0 apply examples/lanka/notes/1-stockline.yaml', 'Apply a note')
  }

  protected async ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const note = readYamlFile(String(options.note), noteSchema)
    if (note.err) return Err(new AuburnpinError('invalid-file', note.val.map(formatFault).join('\n'), 'Correct the file.'))
    return await client.call('POST', `/v1/notes${options.dryRun === true ? '?dry-run=true' : ''}`, note.val)
  }

  protected format (answer: unknown): readonly string[] {
    const { version, changes, isRepeat } = answer as Applied
    const lines = changes.map(change => `${change.action} ${change.section}.${change.name}`)
    if (version === undefined) return [...lines, 'Dry run: nothing was applied.']
    return [...lines, isRepeat === true ? `Was accepted before as version ${version}.` : `Accepted as version ${version}.`]
  }
}
