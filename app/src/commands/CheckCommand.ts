/**
 * `auburnpin check`: checks a settings file or a release note.
 */
import type { Argv } from 'yargs'
import { z } from 'zod'
import { noteSchema } from '@auburnpin/core'
import { EXIT_SUCCESS } from '../exitCodes.ts'
import { readYamlFile } from '../settings/readYamlFile.ts'
import { settingsSchema } from '../settings/settingsSchema.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printFaults, printLine } from './output.ts'

const noteMarkerSchema = z.looseObject({ id: z.unknown().refine(id => id !== undefined) })

/** A file with the key `id` is checked as a release note, any other as settings. */
export class CheckCommand extends Command {
  readonly usage = 'check <file>'
  readonly description = 'Check a settings file or a release note'

  defineOptions (argv: Argv): Argv {
    return argv
      .positional('file', { type: 'string', demandOption: true, describe: 'The file to check' })
      .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
      .example('$0 check examples/lanka/settings-1.yaml', 'Check settings')
      .example('$0 check examples/lanka/notes/1-stockline.yaml', 'Check a release note')
      .epilogue('Exit codes: 0 valid, 2 invalid; each fault names its line, key and remedy.')
  }

  async run (options: CommandOptions): Promise<number> {
    const file = String(options.file)
    const isJson = options.json === true
    const isNote = readYamlFile(file, noteMarkerSchema).ok
    const checked = isNote ? readYamlFile(file, noteSchema) : readYamlFile(file, settingsSchema)
    if (checked.err) return printFaults(checked.val, isJson)
    const kind = isNote ? 'release note' : 'settings'
    printLine(isJson ? JSON.stringify({ file, kind, faults: [] }) : `${file}: valid ${kind}`)
    return EXIT_SUCCESS
  }
}
