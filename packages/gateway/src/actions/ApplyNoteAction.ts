/**
 * `POST /v1/notes`: accepts a release note.
 */
import { AuburnpinError, brand, Err, Ok, type ConfigVersion, type Result } from '@auburnpin/common'
import { mergeNote, noteSchema, type Note } from '@auburnpin/core'
import { acceptNote, readAcceptance, readCurrentConfiguration } from '@auburnpin/cluster'
import { findUnknownDataCentre } from './findUnknownDataCentre.ts'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'

/** Accepts the note; with `?dry-run=true` it only returns the changes that the note would make. */
export class ApplyNoteAction extends Action {
  readonly name = 'apply-note'
  readonly method = 'POST'
  readonly path = '/v1/notes'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const parsed = noteSchema.safeParse(request.body)
    if (!parsed.success) {
      const [issue] = parsed.error.issues
      return Err(new AuburnpinError('invalid-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`, 'Check the note with `auburnpin check FILE`.'))
    }
    const checked = await this.#checkDataCentres(ports, parsed.data)
    if (checked.err) return checked
    if (request.query.get('dry-run') === 'true') return await this.#preview(ports, parsed.data)
    const accepted = await acceptNote(ports, parsed.data, request.operator)
    if (accepted.err) return accepted
    ports.peers.broadcast({ kind: 'configuration-accepted', version: accepted.val.version })
    return Ok({ status: accepted.val.isRepeat ? 200 : 201, body: accepted.val })
  }

  async #checkDataCentres (ports: ActionPorts, note: Note): Promise<Result<void, AuburnpinError>> {
    const unknown = await findUnknownDataCentre(ports, note)
    if (unknown.err) return unknown
    if (unknown.val === null) return Ok(undefined)
    // A note that is sent again was checked when it was accepted; its data centre may have gone since.
    const earlier = await readAcceptance(ports.table, note)
    if (earlier.err) return earlier
    if (earlier.val !== null) return Ok(undefined)
    return Err(new AuburnpinError('invalid-request', `Data centre "${unknown.val}" is not known: no VM and no member is in it`, 'Give a data centre that `auburnpin status` shows.'))
  }

  async #preview (ports: ActionPorts, note: Note): Promise<Result<ActionResponse, AuburnpinError>> {
    const earlier = await readAcceptance(ports.table, note)
    if (earlier.err) return earlier
    if (earlier.val !== null) return Ok({ status: 200, body: earlier.val })
    // Read from the store, as this member may not have received the newest configuration yet.
    const current = await readCurrentConfiguration(ports.table)
    if (current.err) return current
    const { configuration } = current.val
    const base = note.base === undefined ? configuration.version : brand<ConfigVersion>(note.base)
    return mergeNote(configuration, note, base).map(({ changes }) => ({ status: 200, body: { changes } }))
  }
}
