/**
 * `auburnpin jobs`: submits, lists, shows and cancels jobs.
 */
import type { Argv } from 'yargs'
import { AuburnpinError, Err, type Result } from '@auburnpin/common'
import { TASK_STATES, type Task } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import type { CommandOptions } from './Command.ts'
import { formatTable } from './formatTable.ts'
import { RequestCommand } from './RequestCommand.ts'

const VERBS = ['submit', 'list', 'show', 'cancel'] as const
const DEFAULT_LIMIT = 50

type TaskList = Readonly<{ tasks: readonly Task[], total: number, missing: readonly string[] }>
type TaskDetails = Task & Readonly<{ cell: string, explanation: string }>

/** `submit` takes the job's fields as options; `show` and `cancel` take a job id. */
export class JobsCommand extends RequestCommand {
  readonly usage = 'jobs <verb> [id]'
  readonly description = 'Submit, list, show or cancel jobs'

  protected override defineCommandOptions (argv: Argv): Argv {
    return argv
      .positional('verb', { choices: VERBS, demandOption: true })
      .positional('id', { type: 'string', describe: 'For show and cancel; show takes any task' })
      .option('team', { type: 'string', describe: 'Team that the job belongs to' })
      .option('command', { type: 'string', describe: 'What the worker runs' })
      .option('processors', { type: 'number', default: 1, describe: 'Cores' })
      .option('memory-mb', { type: 'number', default: 512, describe: 'Memory in megabytes' })
      .option('accelerators', { type: 'number', default: 0, describe: 'Accelerator devices' })
      .option('urgent', { type: 'boolean', default: false, describe: 'Go before other work' })
      .option('key', { type: 'string', describe: 'Idempotency key: the same key names the same job' })
      .option('state', { choices: TASK_STATES, describe: 'For list: only tasks in this state' })
      .option('limit', { type: 'number', default: DEFAULT_LIMIT, describe: 'For list: the most to show' })
      .example('$0 jobs submit --team buyers --command "work 500" --key order-17', 'Submit a job once')
      .example('$0 jobs list --state queued', 'What waits')
      .example('$0 jobs cancel job-0a1b2c', 'Cancel a job')
  }

  protected async sendRequest (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    if (options.verb === 'list') return await client.call('GET', listPath(options))
    if (options.verb === 'submit') return await this.#submit(client, options)
    if (typeof options.id !== 'string') return Err(new AuburnpinError('invalid-request', `jobs ${String(options.verb)} needs a job id`, 'Add the id; `auburnpin jobs list` shows all.'))
    return await client.call(options.verb === 'show' ? 'GET' : 'DELETE', `/v1/jobs/${encodeURIComponent(options.id)}`)
  }

  protected format (response: unknown): readonly string[] {
    const value = response as TaskList | TaskDetails | Readonly<Record<string, string>>
    if ('tasks' in value) return formatList(value as TaskList)
    if ('spec' in value) return formatTask(value as TaskDetails)
    return Object.entries(value).map(([key, text]) => `${key} ${text}`)
  }

  #submit (client: OperatorClient, options: CommandOptions): Promise<Result<unknown, AuburnpinError>> {
    const { team, command, processors, memoryMb, accelerators, urgent, key } = options
    const headers: Record<string, string> = typeof key === 'string' ? { 'idempotency-key': key } : {}
    return client.call('POST', '/v1/jobs', { team, command, isUrgent: urgent, resources: { processors, memoryMb, accelerators } }, headers)
  }
}

const listPath = (options: CommandOptions): string => {
  const state = options.state === undefined ? '' : `&state=${String(options.state)}`
  return `/v1/jobs?limit=${Number(options.limit)}${state}`
}

const formatList = ({ tasks, total, missing }: TaskList): string[] => {
  const rows = tasks.map(task => [task.spec.id, task.spec.kind, task.spec.team, task.state, String(task.attempt), task.placement?.vm ?? '-'])
  const lines = formatTable(['TASK', 'KIND', 'TEAM', 'STATE', 'ATTEMPT', 'VM'], rows)
  if (tasks.length < total) lines.push(`${total - tasks.length} more; raise --limit to see them`)
  return missing.length === 0 ? lines : [...lines, `No answer from cells: ${missing.join(', ')}`]
}

const formatTask = (task: TaskDetails): string[] => [
  `task      ${task.spec.id} (${task.spec.kind} of team ${task.spec.team})`,
  `command   ${task.spec.command}`,
  `cell      ${task.cell}`,
  `state     ${task.state}, attempt ${task.attempt}, ${task.failures} failures, ${task.evictions} evictions`,
  ...(task.result === undefined ? [] : [`result    ${task.result}`]),
  task.explanation
]
