/**
 * Sends requests to the owner of a cell.
 */
import { AuburnpinError, Err, Ok, rendezvousRank, type CellId, type Result, type TaskId } from '@auburnpin/common'
import type { PeerReply, PeerRequest } from '@auburnpin/cluster'
import { OWNER_TIMEOUT_MS } from '../constants.ts'
import type { ActionPorts } from './Action.ts'

/** The cell in which a submitted job is kept; every member computes the same one. */
export const cellOfJob = (ports: ActionPorts, id: TaskId): CellId => rendezvousRank(id, ports.cells)[0] as CellId

/**
 * The cell for a job whose id nobody has seen before: one of a data centre that is not evacuated, if there is one. An id
 * that may have been submitted before must stay in `cellOfJob`, as another cell would run the job a second time.
 */
export const cellOfNewJob = (ports: ActionPorts, id: TaskId): CellId => rendezvousRank(id, ports.openCells())[0] ?? cellOfJob(ports, id)

/** Sends a request to the cell's owner; a reply of the kind `failed` becomes an error. */
export const sendToOwner = async (ports: ActionPorts, cell: CellId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> => {
  const owner = ports.directory.cells.get(cell)?.row.owner ?? null
  if (owner === null) return Err(new AuburnpinError('unreachable', `Cell ${cell} has no owner at present`, 'Ask again in a few seconds; another member takes it over.'))
  const reply = await withTimeout(ports, request, ports.peers.request(owner, request))
  if (reply.err) return reply
  if (reply.val.kind !== 'failed') return Ok(reply.val)
  const { kind, message, remedy } = reply.val.error
  return Err(new AuburnpinError(kind, message, remedy))
}

/** Kinds of requests that change nothing at the owner. */
const READ_ONLY_REQUESTS: ReadonlySet<PeerRequest['kind']> = new Set(['find-task', 'list-tasks', 'summarise-cell'])

type Reply = Result<PeerReply, AuburnpinError>

// A request to a cell that this member owns uses no peer connection, so the reply timeout of connections does not apply;
// while the store is unavailable it would wait indefinitely.
const withTimeout = async (ports: ActionPorts, request: PeerRequest, reply: Promise<Reply>): Promise<Reply> => {
  const timedOut = new Promise<Reply>(resolve => {
    const timer = ports.clock.after(OWNER_TIMEOUT_MS, () => resolve(Err(timeoutError(request))))
    void reply.finally(() => timer.cancel()).catch(() => {})
  })
  return await Promise.race([reply, timedOut])
}

const timeoutError = (request: PeerRequest): AuburnpinError => {
  const message = `The cell's owner has not confirmed it within ${OWNER_TIMEOUT_MS} ms`
  if (READ_ONLY_REQUESTS.has(request.kind)) return new AuburnpinError('timeout', message, 'Nothing was changed; ask again.')
  return new AuburnpinError('unknown-outcome', message, 'It may still take effect. Send it again with the same Idempotency-Key, or look with `auburnpin jobs list`.')
}
