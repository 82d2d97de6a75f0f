/**
 * `auburnpin stand-in`: runs a region of stand-ins for trials.
 */
import type { Argv } from 'yargs'
import { StandInControl, StandInRegion } from '@auburnpin/stand-in'
import { EXIT_SUCCESS } from '../exitCodes.ts'
import { Command, type CommandOptions } from './Command.ts'
import { exitOnListenError, printLine } from './output.ts'

const MEGABYTES_PER_CORE = 4_000

/** Runs the platform and the workers on loopback; all state is in memory and lost on exit. */
export class StandInCommand extends Command {
  readonly usage = 'stand-in'
  readonly description = 'Run a stand-in platform with workers, on loopback only'

  defineOptions (argv: Argv): Argv {
    return argv
      .option('port', { type: 'number', default: 9000, describe: 'Port of the platform' })
      .option('control-port', { type: 'number', default: 0, describe: 'Port on which faults are switched on; 0 takes any free one' })
      .option('data-centres', { type: 'string', default: 'colombo,negombo,kalutara', describe: 'Names, separated by commas' })
      .option('workers', { type: 'number', default: 33, describe: 'Workers in all' })
      .option('workers-per-rack', { type: 'number', default: 8, describe: 'Workers in each rack' })
      .option('processors', { type: 'number', default: 32, describe: 'Cores of each worker' })
      .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
      .example('$0 stand-in', 'The Lanka region')
      .example('$0 stand-in --data-centres derby,nottingham,leicester,burton --workers 32 --workers-per-rack 6 --processors 64', 'The Trentside region')
      .epilogue('Faults, for trying out: PUT /store {"kind":"down"} or {"kind":"none"}, PUT /vms/vm-007 {"state":"gone"}, "leaving", "silent" or "live", at the control port.')
  }

  async run (options: CommandOptions): Promise<number> {
    const processors = Number(options.processors)
    const region = new StandInRegion({
      dataCentres: String(options.dataCentres).split(','),
      workers: Number(options.workers),
      workersPerRack: Number(options.workersPerRack),
      room: { processors, memoryMb: processors * MEGABYTES_PER_CORE, accelerators: 0 }
    })
    const control = new StandInControl(region)
    const [address, controlAddress] = await open(region, control, options).catch(exitOnListenError)
    if (options.json === true) printLine(JSON.stringify({ platform: address, control: controlAddress, workers: region.workers.size }))
    else printLine(`Stand-in platform at ${address} with ${region.workers.size} workers, faults at ${controlAddress}; end it with Ctrl-C.`)
    await new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve())
      process.once('SIGINT', () => resolve())
    })
    await control.close()
    await region.stop()
    return EXIT_SUCCESS
  }
}

const open = async (region: StandInRegion, control: StandInControl, options: CommandOptions): Promise<readonly [platform: string, control: string]> =>
  [await region.start(Number(options.port)), await control.listen(Number(options.controlPort))]
