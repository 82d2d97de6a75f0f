/**
 * `auburnpin stand-in`: runs a region of stand-ins for trying things out.
 */
import type { Argv } from 'yargs'
import { StandInRegion } from '@auburnpin/stand-in'
import { EXIT_DONE } from '../exitCodes.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printLine } from './output.ts'

const MEGABYTES_PER_CORE = 4_000

/** Platform and workers on loopback; nothing is kept when it ends. */
export class StandInCommand extends Command {
  readonly usage = 'stand-in'
  readonly description = 'Run a stand-in platform with workers, on loopback only'

  describe (argv: Argv): Argv {
    return argv
      .option('port', { type: 'number', default: 9000, describe: 'Port of the platform' })
      .option('data-centres', { type: 'string', default: 'colombo,negombo,kalutara', describe: 'Names, separated by commas' })
      .option('workers', { type: 'number', default: 33 })
      .option('workers-per-rack', { type: 'number', default: 8 })
      .option('processors', { type: 'number', default: 32, describe: 'Cores of each worker' })
  }

  async run (options: CommandOptions): Promise<number> {
    const processors = Number(options.processors)
    const region = new StandInRegion({
      dataCentres: String(options.dataCentres).split(','),
      workers: Number(options.workers),
      workersPerRack: Number(options.workersPerRack),
      room: { processors, memoryMb: processors * MEGABYTES_PER_CORE, accelerators: 0 }
    })
    const address = await region.start(Number(options.port))
    printLine(`Stand-in platform at ${address} with ${region.workers.size} workers; end it with Ctrl-C.`)
    await new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve())
      process.once('SIGINT', () => resolve())
    })
    await region.stop()
    return EXIT_DONE
  }
}
