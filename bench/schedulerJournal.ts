/**
 * Table writes per second as a function of starts per second, with and without group commit, on a virtual clock; and
 * the duration of a recovery as a function of the journal's length and the cell's size, on the real clock.
 * Usage: node --import tsx bench/schedulerJournal.ts
 */
import { brand, SeededRandom, SilentLog, VirtualClock, type Attempt, type CellId, type Clock, type Epoch, type Instant, type JournalSequence, type LeaseSession, type MemberId, type TaskId, type TeamName, type VmId } from '@auburnpin/common'
import { Cell, BaselinePolicy, SpreadPolicy, toSnapshot, type TaskSpec, type Transition } from '@auburnpin/core'
import { cellKey, claimCell, journalKey, snapshotPointerKey, type ClaimedCell } from '@auburnpin/cluster'
import { FakeLink, FakeObjectStore, FakeTableStore } from '@auburnpin/fakes'
import { digestOf, JournalWriter, recoverCell, type JournalOptions } from '@auburnpin/scheduler'
import { MemoryTable } from '@auburnpin/stand-in'

const CELL = brand<CellId>('cell-0')
const STORE_ONE_WAY_MS = 2.5
const SECONDS = 10
const STARTS_PER_SECOND = [1, 10, 100, 1_000, 1_900]
const TRANSITIONS_PER_RECORD = 256
const RECOVERIES = 5

type Mode = Readonly<{ name: string, options: Pick<JournalOptions, 'intervalMs' | 'recordTransitions'> }>

const MODES: readonly Mode[] = [
  { name: 'a record per step', options: { intervalMs: 0, recordTransitions: 1 } },
  { name: 'group commit, no interval', options: { intervalMs: 0 } },
  { name: 'group commit, 50 ms', options: {} }
]

const specOf = (index: number): TaskSpec => ({
  id: brand<TaskId>(`job-${index}`), kind: 'batch', isUrgent: false, team: brand<TeamName>('team'), resources: { processors: 1, memoryMb: 100, accelerators: 0 }, command: 'work 60 seconds', acceptedAt: index
})

const transitionsOf = (index: number): [Transition, Transition, Transition] => {
  const task = brand<TaskId>(`job-${index}`)
  const attempt = brand<Attempt>(1)
  return [
    { kind: 'accepted', spec: specOf(index) },
    { kind: 'assigned', task, attempt, vm: brand<VmId>(`vm-${index % 600}`), session: brand<LeaseSession>('cell-0.1.abcdefghijkl') },
    { kind: 'ended', task, attempt, end: 'finished', result: 'done' }
  ]
}

const claim = async (table: FakeTableStore): Promise<ClaimedCell> => {
  const identity = { member: brand<MemberId>('m'), dataCentre: brand<never>('dc' as never), roles: [], peerAddress: '', incarnation: 'm' }
  return (await claimCell(table, new SeededRandom(1), identity, CELL, undefined)).unwrap() as ClaimedCell
}

const percentile = (values: readonly number[], share: number): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length * share)] ?? NaN

const measureWrites = async (rate: number, mode: Mode): Promise<string> => {
  const clock = new VirtualClock()
  const link = new FakeLink(clock)
  const memory = new MemoryTable()
  const table = new FakeTableStore(memory, link, 'm')
  const claimed = await claim(table)
  link.setDeliveryPolicy(() => ({ requestDelayMs: STORE_ONE_WAY_MS, responseDelayMs: STORE_ONE_WAY_MS, loss: 'none' }))
  const writes: number[] = []
  const journal = new JournalWriter(table, clock, new SeededRandom(1), new SilentLog(), {
    claimed, last: brand<JournalSequence>(0), onFenced: () => {}, onRecord: () => writes.push(clock.now()), ...mode.options
  })
  const waits: number[] = []
  let durable = 0
  for (let index = 0; index < rate * SECONDS; index++) {
    for (const [stage, transition] of transitionsOf(index).entries()) {
      clock.after(index * 1_000 / rate + stage * 200, () => {
        const appendedAt = clock.now()
        journal.append([transition], () => {
          durable++
          waits.push(clock.now() - appendedAt)
        })
      })
    }
  }
  await clock.advance(SECONDS * 1_000)
  const perSecond = writes.length / SECONDS
  const share = durable / (rate * SECONDS * 3)
  return `| ${rate} | ${mode.name} | ${perSecond.toFixed(1)} | ${(100 * share).toFixed(0)}% | ${percentile(waits, 0.5).toFixed(0)} | ${percentile(waits, 0.99).toFixed(0)} |`
}

/** Creates a store that contains a snapshot of `tasks` tasks, followed by a journal of `transitions` transitions. */
const createStore = async (tasks: number, transitions: number, clock: Clock): Promise<Readonly<{ table: FakeTableStore, objects: FakeObjectStore, bytes: number }>> => {
  const link = new FakeLink(clock)
  const memory = new MemoryTable()
  const contents = new Map<string, Uint8Array>()
  const table = new FakeTableStore(memory, link, 'm')
  const put = (key: string, value: unknown): unknown => memory.transact({ id: 't', checks: [], puts: [{ key, value: { transaction: 't', value } }], deletes: [] })
  put(cellKey(CELL), { cell: CELL, epoch: 1, owner: null, incarnation: null })
  const cell = new Cell({ cell: CELL, epoch: brand<Epoch>(1) }, new BaselinePolicy(new SpreadPolicy()))
  const snapshotTransitions = Array.from({ length: tasks }, (_, index) => transitionsOf(index).slice(0, 2)).flat()
  cell.restore(snapshotTransitions, brand<Instant>(0))
  const content = Buffer.from(JSON.stringify(toSnapshot(brand<JournalSequence>(1), cell.state.durable.values())))
  contents.set('snapshot', content)
  put(snapshotPointerKey(CELL), { format: 1, kept: [{ key: 'snapshot', through: 1, digest: digestOf(content) }], trimmed: 1 })
  const journalTransitions = Array.from({ length: Math.ceil(transitions / 3) }, (_, index) => transitionsOf(tasks + index)).flat()
  for (let from = 0, sequence = 2; from < journalTransitions.length; from += TRANSITIONS_PER_RECORD, sequence++) {
    put(journalKey(CELL, brand<JournalSequence>(sequence)), { format: 1, epoch: 1, transitions: journalTransitions.slice(from, from + TRANSITIONS_PER_RECORD) })
  }
  return { table, objects: new FakeObjectStore(contents, link, 'm'), bytes: content.length }
}

const measureRecovery = async (tasks: number, transitions: number): Promise<string> => {
  const store = await createStore(tasks, transitions, new VirtualClock())
  const times: number[] = []
  for (let run = 0; run < RECOVERIES; run++) {
    const startedAt = performance.now()
    const recovered = (await recoverCell(store.table, store.objects, new SilentLog(), CELL)).unwrap()
    const cell = new Cell({ cell: CELL, epoch: brand<Epoch>(2) }, new BaselinePolicy(new SpreadPolicy()))
    cell.restore(recovered.transitions, brand<Instant>(0), recovered.snapshot?.tasks ?? [])
    times.push(performance.now() - startedAt)
  }
  const records = Math.ceil(transitions / TRANSITIONS_PER_RECORD)
  return `| ${tasks} | ${transitions} | ${records} | ${(store.bytes / 1e6).toFixed(1)} | ${percentile(times, 0.5).toFixed(0)} |`
}

console.log('| starts/s | journal | table writes/s | durable by the end | wait p50 ms | wait p99 ms |\n|---|---|---|---|---|---|')
for (const rate of STARTS_PER_SECOND) {
  for (const mode of MODES) console.log(await measureWrites(rate, mode))
}
console.log('\n| tasks in the snapshot | transitions after it | records | snapshot MB | recovery ms, median of 5 |\n|---|---|---|---|---|')
for (const tasks of [1_000, 10_000, 50_000]) {
  for (const transitions of [0, 10_000, 50_000]) console.log(await measureRecovery(tasks, transitions))
}
