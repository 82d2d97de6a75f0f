/**
 * Asks the owner of a cell.
 */
import { AuburnpinError, Err, Ok, rendezvousRank, type CellId, type Result, type TaskId } from '@auburnpin/common'
import type { PeerReply, PeerRequest } from '@auburnpin/cluster'
import { OWNER_DEADLINE_MS } from '../constants.ts'
import type { ActionPorts } from './Action.ts'

/** The cell in which a submitted job is kept, the same for every member that asks. */
export const cellOfJob = (ports: ActionPorts, id: TaskId): CellId => rendezvousRank(id, ports.cells)[0] as CellId

/** The owner's answer; a failure that it reports becomes an error here. */
export const askOwner = async (ports: ActionPorts, cell: CellId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> => {
  const owner = ports.directory.cells.get(cell)?.row.owner ?? null
  if (owner === null) return Err(new AuburnpinError('unreachable', `Cell ${cell} has no owner at present`, 'Ask again in a few seconds; another member takes it over.'))
  const reply = await withinDeadline(ports, request, ports.peers.request(owner, request))
  if (reply.err) return reply
  if (reply.val.kind !== 'failed') return Ok(reply.val)
  const { kind, message, remedy } = reply.val.error
  return Err(new AuburnpinError(kind, message, remedy))
}

/** Questions that change nothing at the owner. */
const READINGS: ReadonlySet<PeerRequest['kind']> = new Set(['find-task', 'list-tasks', 'summarise-cell'])

type Reply = Result<PeerReply, AuburnpinError>

// A cell that this member owns itself answers without a link and its timeout; with the store down it would wait on.
const withinDeadline = async (ports: ActionPorts, request: PeerRequest, reply: Promise<Reply>): Promise<Reply> => {
  const late = new Promise<Reply>(resolve => {
    const timer = ports.clock.after(OWNER_DEADLINE_MS, () => resolve(Err(tooLate(request))))
    void reply.finally(() => timer.cancel()).catch(() => {})
  })
  return await Promise.race([reply, late])
}

const tooLate = (request: PeerRequest): AuburnpinError => {
  const message = `The cell's owner has not confirmed it within ${OWNER_DEADLINE_MS} ms`
  if (READINGS.has(request.kind)) return new AuburnpinError('timeout', message, 'Nothing was changed; ask again.')
  return new AuburnpinError('unknown-outcome', message, 'It may still take effect. Send it again with the same Idempotency-Key, or look with `auburnpin jobs list`.')
}
