/**
 * `auburnpin trace`: shows the records of one job from the logs of several processes.
 */
import { readFileSync } from 'node:fs'
import type { Argv } from 'yargs'
import { AuburnpinError } from '@auburnpin/common'
import { traceJob } from '@auburnpin/observe'
import { EXIT_SUCCESS, EXIT_FAILURE } from '../exitCodes.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printError, printLine } from './output.ts'

/** Prints the log records of one job in chronological order. */
export class TraceCommand extends Command {
  readonly usage = 'trace <id> <logs...>'
  readonly description = 'Show what became of a job, from the logs of any processes'

  defineOptions (argv: Argv): Argv {
    return argv
      .positional('id', { type: 'string', demandOption: true, describe: 'The job\'s id' })
      .positional('logs', { type: 'string', array: true, demandOption: true, describe: 'Log files, one JSON record a line' })
      .option('json', { type: 'boolean', default: false, describe: 'Print one JSON record a line' })
      .example('$0 trace 5c0e7a21d94b36f8 logs/*.log', 'From its submission to its end')
  }

  async run (options: CommandOptions): Promise<number> {
    const files: { name: string, text: string }[] = []
    for (const name of options.logs as readonly string[]) {
      try {
        files.push({ name, text: readFileSync(name, 'utf8') })
      } catch (thrown) {
        return printError(new AuburnpinError('invalid-file', `"${name}" can't be read`, 'Name files with the logs of the processes.', { cause: thrown }))
      }
    }
    const id = String(options.id)
    const records = traceJob(files, id)
    if (!records.some(record => record.details.includes(id) || record.message.startsWith('Job'))) {
      return printError(new AuburnpinError('not-found', `No record names job "${id}"`, 'Check the id, and add the logs of the other processes.'))
    }
    for (const record of records) printLine(options.json === true ? JSON.stringify(record) : `${record.at}  ${record.source}  ${record.message}  ${record.details}`)
    return records.length > 0 ? EXIT_SUCCESS : EXIT_FAILURE
  }
}
