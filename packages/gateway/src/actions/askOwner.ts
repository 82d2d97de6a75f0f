/**
 * Asks the owner of a cell.
 */
import { AuburnpinError, Err, Ok, rendezvousRank, type CellId, type Result, type TaskId } from '@auburnpin/common'
import type { PeerReply, PeerRequest } from '@auburnpin/cluster'
import type { ActionPorts } from './Action.ts'

/** The cell in which a submitted job is kept, the same for every member that asks. */
export const cellOfJob = (ports: ActionPorts, id: TaskId): CellId => rendezvousRank(id, ports.cells)[0] as CellId

/** The owner's answer; a failure that it reports becomes an error here. */
export const askOwner = async (ports: ActionPorts, cell: CellId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> => {
  const owner = ports.directory.cells.get(cell)?.row.owner ?? null
  if (owner === null) return Err(new AuburnpinError('unreachable', `Cell ${cell} has no owner at present`, 'Ask again in a few seconds; another member takes it over.'))
  const reply = await ports.peers.request(owner, request)
  if (reply.err) return reply
  if (reply.val.kind !== 'failed') return Ok(reply.val)
  const { kind, message, remedy } = reply.val.error
  return Err(new AuburnpinError(kind, message, remedy))
}
