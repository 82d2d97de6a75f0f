/**
 * All commands, in the order in which `--help` shows them.
 */
import { ApplyCommand } from './ApplyCommand.ts'
import { AuditCommand } from './AuditCommand.ts'
import { CheckCommand } from './CheckCommand.ts'
import type { Command } from './Command.ts'
import { DemoCommand } from './DemoCommand.ts'
import { DrainCommand } from './DrainCommand.ts'
import { EvacuateCommand } from './EvacuateCommand.ts'
import { ExplainCommand } from './ExplainCommand.ts'
import { JobsCommand } from './JobsCommand.ts'
import { ReplayCommand } from './ReplayCommand.ts'
import { RestoreCommand } from './RestoreCommand.ts'
import { ServeCommand } from './ServeCommand.ts'
import { StandInCommand } from './StandInCommand.ts'
import { StatusCommand } from './StatusCommand.ts'
import { TraceCommand } from './TraceCommand.ts'

/** A command is available only if this list contains it. */
export const COMMANDS: readonly Command[] = [
  new ServeCommand(),
  new CheckCommand(),
  new ApplyCommand(),
  new StatusCommand(),
  new JobsCommand(),
  new ExplainCommand(),
  new DrainCommand(),
  new EvacuateCommand(),
  new RestoreCommand(),
  new AuditCommand(),
  new ReplayCommand(),
  new TraceCommand(),
  new StandInCommand(),
  new DemoCommand()
]
