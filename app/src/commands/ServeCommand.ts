/**
 * `auburnpin serve`: runs a member with the roles in its settings.
 */
import type { Argv } from 'yargs'
import { ConsolaLog } from '../ConsolaLog.ts'
import { EXIT_SUCCESS, exitCodeOf } from '../exitCodes.ts'
import { Member } from '../Member.ts'
import { readYamlFile } from '../settings/readYamlFile.ts'
import { settingsSchema } from '../settings/settingsSchema.ts'
import { Command, type CommandOptions } from './Command.ts'
import { exitOnListenError, printFaults } from './output.ts'

/** Runs until SIGTERM, SIGINT or a fatal error, then leaves the region gracefully. */
export class ServeCommand extends Command {
  readonly usage = 'serve'
  readonly description = 'Run a member: gateway, scheduler, or both'

  defineOptions (argv: Argv): Argv {
    return argv
      .option('settings', { type: 'string', demandOption: true, describe: 'Settings file (YAML)' })
      .example('$0 serve --settings examples/lanka/settings-1.yaml', 'Run the first member of the Lanka example')
  }

  async run (options: CommandOptions): Promise<number> {
    const settings = readYamlFile(String(options.settings), settingsSchema)
    if (settings.err) return printFaults(settings.val)
    const log = ConsolaLog.create(settings.val.log.level, line => { process.stderr.write(`${line}\n`) })
    const member = new Member(settings.val, log)
    let exitCode = EXIT_SUCCESS
    const stopRequested = new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve())
      process.once('SIGINT', () => resolve())
      member.onFatalError(error => {
        exitCode = exitCodeOf(error.kind)
        resolve()
      })
    })
    // SIGHUP allows peer keys to be rotated without a restart: add the new key to every process, then put it first, then remove the old one.
    process.on('SIGHUP', () => {
      const changed = readYamlFile(String(options.settings), settingsSchema)
      if (changed.err) log.error('Settings file is invalid; keeping the current peer keys', { faults: changed.val.length })
      else member.setPeerKeys(changed.val.peerKeys)
    })
    try {
      await member.start()
    } catch (thrown) {
      return exitOnListenError(thrown)
    }
    await stopRequested
    await member.stop()
    return exitCode
  }
}
