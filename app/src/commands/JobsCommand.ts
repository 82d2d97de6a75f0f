/**
 * `auburnpin jobs`: submits, lists, shows and cancels jobs.
 */
import type { Argv } from 'yargs'
import { AuburnpinError, Err, type Result } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { OperatorCommand } from './OperatorCommand.ts'

const VERBS = ['submit', 'list', 'show', 'cancel'] as const

/** `submit` takes the job's fields as options; `show` and `cancel` take its id. */
export class JobsCommand extends OperatorCommand {
  readonly usage = 'jobs <verb> [id]'
  readonly description = 'Submit, list, show or cancel jobs'

  protected override describeOwn (argv: Argv): Argv {
    return argv
      .positional('verb', { choices: VERBS, demandOption: true })
      .positional('id', { type: 'string', describe: 'Job id, for show and cancel' })
      .option('team', { type: 'string', describe: 'Team that the job belongs to' })
      .option('command', { type: 'string', describe: 'What the worker runs' })
      .option('processors', { type: 'number', default: 1, describe: 'Cores' })
      .option('memory-mb', { type: 'number', default: 512, describe: 'Memory in megabytes' })
      .option('accelerators', { type: 'number', default: 0, describe: 'Accelerator devices' })
      .option('urgent', { type: 'boolean', default: false, describe: 'Go before other work' })
      .option('key', { type: 'string', describe: 'Idempotency key: the same key names the same job' })
      .example('$0 jobs submit --team buyers --command "work 500" --key order-17', 'Submit a job once')
  }

  protected async ask (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    if (options.verb === 'list') return await client.call('GET', '/v1/jobs')
    if (options.verb === 'submit') return await this.#submit(client, options)
    if (typeof options.id !== 'string') return Err(new AuburnpinError('invalid-request', `jobs ${String(options.verb)} needs a job id`, 'Add the id; `auburnpin jobs list` shows all.'))
    return await client.call(options.verb === 'show' ? 'GET' : 'DELETE', `/v1/jobs/${encodeURIComponent(options.id)}`)
  }

  protected format (answer: unknown): readonly string[] {
    if (typeof answer !== 'object' || answer === null || !('tasks' in answer)) return [JSON.stringify(answer, null, 2)]
    const { tasks, missing } = answer as { tasks: readonly Task[], missing: readonly string[] }
    const lines = tasks.map(task => `${task.spec.id.padEnd(32)} ${task.spec.kind.padEnd(8)} ${task.state.padEnd(11)} attempt ${task.attempt}`)
    return missing.length === 0 ? lines : [...lines, `No answer from cells: ${missing.join(', ')}`]
  }

  #submit (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const { team, command, processors, memoryMb, accelerators, urgent, key } = options
    const headers: Record<string, string> = typeof key === 'string' ? { 'idempotency-key': key } : {}
    return client.call('POST', '/v1/jobs', { team, command, isUrgent: urgent, resources: { processors, memoryMb, accelerators } }, headers)
  }
}
