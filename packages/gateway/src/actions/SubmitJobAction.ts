/**
 * `POST /v1/jobs`: submits a batch task.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import { AuburnpinError, brand, Err, Ok, type Result, type TaskId, type TeamName } from '@auburnpin/common'
import { nameSchema, resourcesSchema, type TaskSpec } from '@auburnpin/core'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'
import { sendToOwner, cellOfJob, cellOfNewJob } from './sendToOwner.ts'

/** Body of a job submission. */
export const jobSchema = z.strictObject({
  team: nameSchema,
  resources: resourcesSchema,
  command: z.string().min(1),
  isUrgent: z.boolean().default(false)
})

const JOB_ID_LENGTH = 16
const KEY_DIGEST_LENGTH = 24

/** Accepts a job once it is durable. Requests of one operator with the same `Idempotency-Key` submit the same job. */
export class SubmitJobAction extends Action {
  readonly name = 'submit-job'
  readonly method = 'POST'
  readonly path = '/v1/jobs'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const parsed = jobSchema.safeParse(request.body)
    if (!parsed.success) {
      const [issue] = parsed.error.issues
      return Err(new AuburnpinError('invalid-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`, 'See docs/API.md for the fields of a job.'))
    }
    const { isUrgent, resources, command } = parsed.data
    const team = brand<TeamName>(parsed.data.team)
    if (ports.configuration.current.teams[team] === undefined) {
      return Err(new AuburnpinError('invalid-request', `Team "${team}" is not declared`, 'Add the team with a release note.'))
    }
    const spec: TaskSpec = { id: this.#idOf(ports, request), kind: 'batch', isUrgent, team, resources, command, acceptedAt: ports.clock.wallTime() }
    const cell = isKeyed(request) ? cellOfJob(ports, spec.id) : cellOfNewJob(ports, spec.id)
    const reply = await sendToOwner(ports, cell, { kind: 'submit', cell, spec })
    if (reply.err) return reply
    return Ok({ status: 202, body: { id: spec.id, cell } })
  }

  #idOf (ports: ActionPorts, request: ActionRequest): TaskId {
    const key = request.headers['idempotency-key']
    if (typeof key !== 'string') return brand<TaskId>(`job-${ports.random.id(JOB_ID_LENGTH)}`)
    const digest = createHash('sha256').update(`${request.operator}\n${key}`).digest('hex')
    return brand<TaskId>(`job-${digest.slice(0, KEY_DIGEST_LENGTH)}`)
  }
}

const isKeyed = ({ headers }: ActionRequest): boolean => typeof headers['idempotency-key'] === 'string'
