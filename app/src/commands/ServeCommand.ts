/**
 * `auburnpin serve`: runs the roles that the settings name.
 */
import type { Argv } from 'yargs'
import { ConsolaLog } from '../ConsolaLog.ts'
import { EXIT_DONE, exitCodeOf } from '../exitCodes.ts'
import { Member } from '../Member.ts'
import { readYamlFile } from '../settings/readYamlFile.ts'
import { settingsSchema } from '../settings/settingsSchema.ts'
import { Command, type CommandOptions } from './Command.ts'
import { failToListen, printFaults } from './output.ts'

/** Runs until SIGTERM or SIGINT, then leaves gracefully. */
export class ServeCommand extends Command {
  readonly usage = 'serve'
  readonly description = 'Run a member: gateway, scheduler, or both'

  describe (argv: Argv): Argv {
    return argv
      .option('settings', { type: 'string', demandOption: true, describe: 'Settings file (YAML)' })
      .example('$0 serve --settings examples/lanka/settings-1.yaml', 'Run the first member of the Lanka example')
  }

  async run (options: CommandOptions): Promise<number> {
    const settings = readYamlFile(String(options.settings), settingsSchema)
    if (settings.err) return printFaults(settings.val)
    const log = ConsolaLog.create(settings.val.log.level, line => { process.stderr.write(`${line}\n`) })
    const member = new Member(settings.val, log)
    let exitCode = EXIT_DONE
    const stopAsked = new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve())
      process.once('SIGINT', () => resolve())
      member.onUnfit(error => {
        exitCode = exitCodeOf(error.kind)
        resolve()
      })
    })
    // Keys change without a restart: first add the new one everywhere, then use it, then take the old one out.
    process.on('SIGHUP', () => {
      const changed = readYamlFile(String(options.settings), settingsSchema)
      if (changed.err) log.error('The settings are invalid; nothing was changed', { faults: changed.val.length })
      else member.setPeerKeys(changed.val.peerKeys)
    })
    try {
      await member.start()
    } catch (thrown) {
      return failToListen(thrown)
    }
    await stopAsked
    await member.stop()
    return exitCode
  }
}
