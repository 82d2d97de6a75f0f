/**
 * Entry point of the command line.
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { COMMANDS } from './commands/commands.ts'
import { EXIT_SUCCESS, EXIT_FAILURE, EXIT_INVALID } from './exitCodes.ts'

const VERSION = '0.1.0'
const HELP_COLUMNS = 80

const main = async (): Promise<void> => {
  let exitCode = 0
  const parser = yargs(hideBin(process.argv)).scriptName('auburnpin').version(VERSION).strict()
    .demandCommand(1, 'Name a command.').completion('completion', 'Print a completion script for bash or zsh').wrap(HELP_COLUMNS)
  for (const command of COMMANDS) {
    parser.command(command.usage, command.description, argv => command.defineOptions(argv), async options => { exitCode = await command.run(options) })
  }
  parser.fail((message, error) => {
    if (error !== undefined && error !== null) throw error
    process.stderr.write(`${message} See auburnpin --help.\n`)
    process.exit(EXIT_INVALID)
  })
  await parser.parseAsync()
  process.exitCode = exitCode
}

// A reader such as `head` closes the pipe early, which is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit(EXIT_SUCCESS)
})

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
  process.exitCode = EXIT_FAILURE
})
