/**
 * `auburnpin replay`: replays a trace and checks the outcomes that it states.
 */
import { readFileSync } from 'node:fs'
import type { Argv } from 'yargs'
import { AuburnpinError } from '@auburnpin/common'
import { checkOutcomes, POLICIES, POLICY_NAMES, Replay, Trace, type PolicyName } from '@auburnpin/replay'
import { EXIT_SUCCESS, EXIT_FAILURE } from '../exitCodes.ts'
import { Command, type CommandOptions } from './Command.ts'
import { printError, printLine } from './output.ts'

/** Prints one JSON summary per policy; the exit code depends on the first policy alone. */
export class ReplayCommand extends Command {
  readonly usage = 'replay <trace>'
  readonly description = 'Replay a trace against its stated outcomes'

  defineOptions (argv: Argv): Argv {
    return argv
      .positional('trace', { type: 'string', demandOption: true, describe: 'A file of JSON Lines' })
      .option('policy', { choices: POLICY_NAMES, default: POLICY_NAMES[0], describe: 'The policy to replay' })
      .option('baselines', { type: 'boolean', default: false, describe: 'Replay every policy, one line each' })
      .example('$0 replay examples/traces/lanka-day.jsonl', 'Check the outcomes')
      .example('$0 replay examples/traces/lanka-day.jsonl --baselines', 'Compare all policies')
  }

  async run (options: CommandOptions): Promise<number> {
    const file = String(options.trace)
    const text = readText(file)
    if (text instanceof AuburnpinError) return printError(text)
    const trace = Trace.parse(text)
    if (trace.err) return printError(trace.val)
    const first = options.policy as PolicyName
    const others = options.baselines === true ? POLICY_NAMES.filter(name => name !== first) : []
    const exitCode = replayPolicy(trace.val, first)
    for (const name of others) replayPolicy(trace.val, name)
    return exitCode
  }
}

const readText = (file: string): string | AuburnpinError => {
  try {
    return readFileSync(file, 'utf8')
  } catch (thrown) {
    return new AuburnpinError('invalid-file', `"${file}" can't be read`, 'Name a trace, such as examples/traces/lanka-day.jsonl.', { cause: thrown })
  }
}

const replayPolicy = (trace: Trace, policy: PolicyName): number => {
  const summary = new Replay(trace, POLICIES[policy]).run()
  const missed = checkOutcomes(trace, summary)
  printLine(JSON.stringify({ trace: trace.region.name, policy, ...summary, missed }))
  return missed.length === 0 ? EXIT_SUCCESS : EXIT_FAILURE
}
