/**
 * `POST /v1/notes`: accepts a release note.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import { mergeNote, noteSchema } from '@auburnpin/core'
import { acceptNote } from '@auburnpin/cluster'
import { Action, type ActionAnswer, type ActionPorts, type ActionRequest } from './Action.ts'

/** Accepts the note, or with `?dry-run=true` only shows what it would change. */
export class ApplyNoteAction extends Action {
  readonly name = 'apply-note'
  readonly method = 'POST'
  readonly path = '/v1/notes'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionAnswer, AuburnpinError>> {
    const parsed = noteSchema.safeParse(request.body)
    if (!parsed.success) {
      const [issue] = parsed.error.issues
      return Err(new AuburnpinError('invalid-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`, 'Check the note with `auburnpin check FILE`.'))
    }
    if (request.query.get('dry-run') === 'true') {
      const { current } = ports.configuration
      return mergeNote(current, parsed.data, current.version).map(({ changes }) => ({ status: 200, body: { changes } }))
    }
    const accepted = await acceptNote(ports, parsed.data, request.operator)
    if (accepted.err) return accepted
    ports.peers.broadcast({ kind: 'configuration-accepted', version: accepted.val.version })
    return Ok({ status: accepted.val.isRepeat ? 200 : 201, body: accepted.val })
  }
}
