/**
 * Base class of all commands.
 */
import type { Argv } from 'yargs'

/** Options as `yargs` parsed them. */
export type CommandOptions = Readonly<Record<string, unknown>>

/** A command with its usage; `run` resolves to the exit code. */
export abstract class Command {
  /** Name and positional arguments, in the notation of `yargs`. */
  abstract readonly usage: string
  abstract readonly description: string
  /** Declares options and positional arguments. */
  abstract defineOptions (argv: Argv): Argv
  abstract run (options: CommandOptions): Promise<number>
}
