/**
 * `auburnpin evacuate`: closes a data centre for new work.
 */
import type { Argv } from 'yargs'
import { DataCentreCommand } from './DataCentreCommand.ts'

/** Declares an evacuation: nothing new is assigned in the data centre; what runs there stays and endpoints stay in use. */
export class EvacuateCommand extends DataCentreCommand {
  readonly usage = 'evacuate <data-centre>'
  readonly description = 'Close a data centre for new work; what runs there goes on'
  protected readonly verb = 'evacuate'

  protected override defineCommandOptions (argv: Argv): Argv {
    return super.defineCommandOptions(argv).example('$0 evacuate derby --reason "power works tonight"', 'Close a data centre')
  }

  protected changeOf (dataCentre: string, reason: string): Readonly<Record<string, unknown>> {
    return { added: { evacuations: { [dataCentre]: { reason } } } }
  }
}
