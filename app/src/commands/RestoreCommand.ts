/**
 * `auburnpin restore`: opens an evacuated data centre again.
 */
import type { Argv } from 'yargs'
import { DataCentreCommand } from './DataCentreCommand.ts'

/** Withdraws an evacuation: the data centre takes new work again. */
export class RestoreCommand extends DataCentreCommand {
  readonly usage = 'restore <data-centre>'
  readonly description = 'Open an evacuated data centre for new work again'
  protected readonly verb = 'restore'

  protected override defineCommandOptions (argv: Argv): Argv {
    return super.defineCommandOptions(argv).example('$0 restore derby --reason "power is back"', 'Open it again')
  }

  protected changeOf (dataCentre: string): Readonly<Record<string, unknown>> {
    return { withdrawn: { evacuations: [dataCentre] } }
  }
}
