/**
 * `auburnpin demo`: the whole path on one machine.
 */
import type { Argv } from 'yargs'
import { EXIT_DONE, EXIT_FAILED } from '../exitCodes.ts'
import { runDemo } from '../demo/runDemo.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printLine } from './output.ts'

/** Ends by itself; exit code 0 only if everything held. */
export class DemoCommand extends Command {
  readonly usage = 'demo'
  readonly description = 'Show the whole path with embedded stand-ins, in under 30 seconds'

  describe (argv: Argv): Argv {
    return argv.option('json', { type: 'boolean', default: false, describe: 'Print the summary as one JSON line, last' })
  }

  async run (options: CommandOptions): Promise<number> {
    const isJson = options.json === true
    const summary = await runDemo(isJson ? () => {} : printLine)
    if (isJson) printLine(JSON.stringify(summary))
    return summary.isHeld ? EXIT_DONE : EXIT_FAILED
  }
}
