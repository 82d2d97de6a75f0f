import test from 'ava'
import { brand, Ok, VirtualClock, type CellId, type MemberId, type TaskId } from '@auburnpin/common'
import type { PeerReply, PeerRequest } from '@auburnpin/cluster'
import type { ActionPorts } from '../src/index.ts'
import { askOwner } from '../src/actions/askOwner.ts'
import { OWNER_DEADLINE_MS } from '../src/constants.ts'

const CELL = brand<CellId>('derby-0')
const TASK = brand<TaskId>('draft-1')
const OWNER = brand<MemberId>('entry-1')

const portsWith = (clock: VirtualClock, answer: () => Promise<PeerReply>): ActionPorts => ({
  clock,
  directory: { cells: new Map([[CELL, { row: { cell: CELL, owner: OWNER } }]]) },
  peers: { request: async () => Ok(await answer()) }
}) as unknown as ActionPorts

const askSilentOwner = async (request: PeerRequest) => {
  const clock = new VirtualClock()
  const asked = askOwner(portsWith(clock, () => new Promise(() => {})), CELL, request)
  await clock.advance(OWNER_DEADLINE_MS)
  return await asked
}

test('an owner that can\'t confirm a submission leaves its outcome unknown, in bounded time', async t => {
  const answer = await askSilentOwner({ kind: 'cancel', cell: CELL, task: TASK })
  t.like(answer.val, { kind: 'unknown-outcome' })
})

test('a reading that takes too long is a timeout, as nothing can have changed', async t => {
  const answer = await askSilentOwner({ kind: 'find-task', cell: CELL, task: TASK })
  t.like(answer.val, { kind: 'timeout' })
})

test('an answer in time is passed on', async t => {
  const answer = await askOwner(portsWith(new VirtualClock(), async () => ({ kind: 'task', task: null })), CELL, { kind: 'find-task', cell: CELL, task: TASK })
  t.deepEqual(answer.val, { kind: 'task', task: null })
})
