import test from 'ava'
import { brand, Ok, SeededRandom, VirtualClock, type CellId, type MemberId, type TaskId } from '@auburnpin/common'
import type { PeerReply, PeerRequest } from '@auburnpin/cluster'
import type { ActionPorts } from '../src/index.ts'
import { SubmitJobAction } from '../src/actions/SubmitJobAction.ts'
import { sendToOwner } from '../src/actions/sendToOwner.ts'
import { OWNER_TIMEOUT_MS } from '../src/constants.ts'

const CELL = brand<CellId>('derby-0')
const TASK = brand<TaskId>('draft-1')
const OWNER = brand<MemberId>('entry-1')

const portsWith = (clock: VirtualClock, response: () => Promise<PeerReply>): ActionPorts => ({
  clock,
  directory: { cells: new Map([[CELL, { row: { cell: CELL, owner: OWNER } }]]) },
  peers: { request: async () => Ok(await response()) }
}) as unknown as ActionPorts

const requestUnresponsiveOwner = async (request: PeerRequest) => {
  const clock = new VirtualClock()
  const pending = sendToOwner(portsWith(clock, () => new Promise(() => {})), CELL, request)
  await clock.advance(OWNER_TIMEOUT_MS)
  return await pending
}

test('an owner that does not confirm a change in time leaves its outcome unknown', async t => {
  const response = await requestUnresponsiveOwner({ kind: 'cancel', cell: CELL, task: TASK })
  t.like(response.val, { kind: 'unknown-outcome' })
})

test('a read-only request that takes too long is a timeout, as nothing can have changed', async t => {
  const response = await requestUnresponsiveOwner({ kind: 'find-task', cell: CELL, task: TASK })
  t.like(response.val, { kind: 'timeout' })
})

test('a reply in time is returned', async t => {
  const response = await sendToOwner(portsWith(new VirtualClock(), async () => ({ kind: 'task', task: null })), CELL, { kind: 'find-task', cell: CELL, task: TASK })
  t.deepEqual(response.val, { kind: 'task', task: null })
})

test('a job goes to an open data centre unless its idempotency key names a cell: there it may have been accepted before an evacuation', async t => {
  const cells = [CELL, brand<CellId>('burton-0')]
  const random = new SeededRandom(1)
  const ports = (openCells: readonly CellId[]): ActionPorts => ({
    ...portsWith(new VirtualClock(), async () => ({ kind: 'task', task: null })),
    cells,
    openCells: () => openCells,
    random,
    configuration: { current: { teams: { desk: {} } } },
    directory: { cells: new Map(cells.map(cell => [cell, { row: { cell, owner: OWNER } }])) }
  }) as unknown as ActionPorts
  const cellsOf = async (openCells: readonly CellId[], keyOf: (job: number) => object): Promise<CellId[]> => {
    const body = { team: 'desk', command: 'work 1', resources: { processors: 1, memoryMb: 100 } }
    const requests = Array.from({ length: 20 }, (_, job) => ({ operator: 'tester', id: '', query: new URLSearchParams(), headers: { ...keyOf(job) }, body }))
    const responses = await Promise.all(requests.map(request => new SubmitJobAction().run(ports(openCells), request)))
    return responses.map(response => (response.unwrap().body as { cell: CellId }).cell)
  }
  const keyed = (job: number): object => ({ 'idempotency-key': `key-${job}` })
  t.deepEqual(await cellsOf([CELL], keyed), await cellsOf(cells, keyed))
  t.is(new Set(await cellsOf([CELL], keyed)).size, 2)
  t.deepEqual(new Set(await cellsOf([CELL], () => ({}))), new Set([CELL]))
})
