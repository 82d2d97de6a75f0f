/**
 * `auburnpin demo`: runs an example installation on one machine.
 */
import type { Argv } from 'yargs'
import { DEMO_EXAMPLES, DEMO_NAMES, type DemoName } from '../demo/DemoExample.ts'
import { runDemo } from '../demo/runDemo.ts'
import { EXIT_SUCCESS, EXIT_FAILURE } from '../exitCodes.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printLine } from './output.ts'

/** Exits by itself, with exit code 0 only if every check passed. */
export class DemoCommand extends Command {
  readonly usage = 'demo'
  readonly description = 'Show the whole path with embedded stand-ins, in under 30 seconds'

  defineOptions (argv: Argv): Argv {
    return argv
      .option('example', { choices: DEMO_NAMES, default: 'lanka', describe: 'Which installation to show' })
      .option('json', { type: 'boolean', default: false, describe: 'Print the summary as one JSON line, last' })
      .example('$0 demo --example trentside', 'Show the wayleave desk')
      .epilogue('Exit codes: 0 everything held, 1 something did not.')
  }

  async run (options: CommandOptions): Promise<number> {
    const isJson = options.json === true
    const summary = await runDemo(DEMO_EXAMPLES[options.example as DemoName], isJson ? () => {} : printLine)
    if (isJson) printLine(JSON.stringify(summary))
    else printLine(summary.isHeld ? 'Everything held.' : 'Something did not hold; see above.')
    return summary.isHeld ? EXIT_SUCCESS : EXIT_FAILURE
  }
}
