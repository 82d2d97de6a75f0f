import test from 'ava'
import { brand, SeededRandom, SilentLog, type DataCentre, type JournalSequence, type MemberId, type TaskId } from '@auburnpin/common'
import { Cell, PlainPolicy, SpreadPolicy, toSnapshot, type CellSnapshot, type Task, type Transition } from '@auburnpin/core'
import { claimCell, journalKey, snapshotPointerKey, type ClaimedCell } from '@auburnpin/cluster'
import { FakeObjectStore, FakeTableStore } from '@auburnpin/fakes'
import { ReliableTable } from '@auburnpin/ports'
import {
  digestOf, JournalWriter, readSnapshotPointer, recoverCell, SnapshotWriter, SNAPSHOT_MIN_TRANSITIONS, type RecoveredJournal, type SnapshotPointer
} from '../src/index.ts'
import { FaultInjector, type FaultKind } from './support/faults.ts'
import { CELL, specOf, World } from './support/World.ts'

const TASKS = 100
const RECORD_TRANSITIONS = 500
const RECORDS = 15
const SETTLED_MS = 15_000
const DEADLINE_MS = 10_000
const NO_FAULT = { member: 'a', call: Infinity, kind: 'paused', pauseMs: 0 } as const

/** A cell whose journal grows until it has been trimmed; `expected` holds its tasks after each record. */
class JournalFixture {
  readonly world: World
  readonly expected = new Map<number, readonly Task[]>()
  #last: JournalSequence = brand<JournalSequence>(0)

  constructor (world = new World(1, () => ({ kind: 'stay' }))) {
    this.world = world
  }

  get last (): JournalSequence {
    return this.#last
  }

  tableOf (member: string): ReliableTable {
    return new ReliableTable(new FakeTableStore(this.world.table, this.world.link, member), this.world.clock, new SeededRandom(1), DEADLINE_MS)
  }

  objectsOf (member: string): FakeObjectStore {
    return new FakeObjectStore(this.world.objects, this.world.link, member)
  }

  async claim (member: string): Promise<ClaimedCell> {
    const identity = { member: brand<MemberId>(member), dataCentre: brand<DataCentre>('colombo'), roles: [], peerAddress: '', incarnation: member }
    const claimed = await claimCell(this.tableOf(member), new SeededRandom(1), identity, CELL, undefined)
    return claimed.unwrap() as ClaimedCell
  }

  /** Writes the records, each once the one before it is durable or its writer is dead. */
  async writeJournal (claimed: ClaimedCell, member: string): Promise<void> {
    const { clock } = this.world
    const cell = new Cell(claimed, new PlainPolicy(new SpreadPolicy()))
    const ports = { table: this.tableOf(member), objects: this.objectsOf(member), clock, random: new SeededRandom(1), log: new SilentLog() }
    const seen = await readSnapshotPointer(ports.table, CELL)
    const snapshots = new SnapshotWriter(ports, claimed, seen.unwrap(), 0)
    const journal = new JournalWriter(ports.table, clock, new SeededRandom(1), new SilentLog(), {
      claimed,
      last: brand<JournalSequence>(0),
      onFenced: () => {},
      onRecord: (sequence, transitions) => {
        this.#last = sequence
        this.expected.set(sequence, durableTasks(cell.state.durable.values()))
        snapshots.handleRecord(sequence, transitions, cell.state.durable)
      }
    })
    for (let record = 1; record <= RECORDS; record++) {
      const transitions = transitionsOf(record)
      for (const transition of transitions) cell.state.apply(transition, clock.now())
      journal.append(transitions, outcome => { if (outcome.ok) cell.settle(transitions, clock.now()) })
      await clock.advance(100)
    }
    await clock.advance(SETTLED_MS)
  }

  recover (): Promise<RecoveredJournal> {
    return this.#recover().then(recovered => recovered.unwrap())
  }

  async recoveryError (): Promise<string> {
    const recovered = await this.#recover()
    return recovered.err ? recovered.val.kind : 'recovered'
  }

  pointer (): SnapshotPointer {
    return (this.world.table.read(snapshotPointerKey(CELL))?.value as { value: SnapshotPointer }).value
  }

  /** Overwrites a row behind the program's back. */
  overwriteRow (key: string, value: unknown): void {
    this.world.table.transact({ id: 'forged', checks: [], puts: [{ key, value: { transaction: 'forged', value } }], deletes: [] })
  }

  #recover () {
    return recoverCell(this.tableOf('observer'), this.objectsOf('observer'), new SilentLog(), CELL)
  }
}

const transitionsOf = (record: number): Transition[] => {
  const ids = Array.from({ length: TASKS }, (_, index) => `order-${index}`)
  if (record === 1) return ids.map(id => ({ kind: 'accepted', spec: specOf(id) }))
  const flips = Array.from({ length: RECORD_TRANSITIONS }, (_, index): Transition => {
    const task = brand<TaskId>(`order-${(index + record) % TASKS}`)
    const isUnrunnable = Math.floor(index / TASKS) % 2 === 0
    return isUnrunnable ? { kind: 'unrunnable', task, reason: { kind: 'waiting-for-room' } } : { kind: 'runnable', task }
  })
  return [...flips, { kind: 'withdrawn', task: brand<TaskId>(`order-${record}`), reason: { kind: 'by-caller' } }]
}

const durableTasks = (tasks: Iterable<Task>): readonly Task[] =>
  [...toSnapshot(brand<JournalSequence>(1), tasks).tasks].sort((left, right) => left.spec.id < right.spec.id ? -1 : 1)

const tasksOf = (recovered: RecoveredJournal): readonly Task[] => {
  const cell = new Cell({ cell: CELL, epoch: brand(2) }, new PlainPolicy(new SpreadPolicy()))
  cell.restore(recovered.transitions, brand(0), recovered.snapshot?.tasks ?? [])
  return durableTasks(cell.state.tasks.values())
}

const write = async (): Promise<JournalFixture> => {
  const archive = new JournalFixture()
  await archive.writeJournal(await archive.claim('a'), 'a')
  return archive
}

test('the journal is trimmed behind the older of two snapshots, and what is read back is what was written', async t => {
  const archive = await write()
  const pointer = archive.pointer()
  t.is(pointer.kept.length, 2)
  t.is(pointer.trimmed, pointer.kept[1]?.through as JournalSequence)
  t.is(archive.world.table.read(journalKey(CELL, pointer.trimmed)), null)
  t.is(archive.world.objects.size, 2)
  const recovered = await archive.recover()
  t.is(recovered.last, brand<JournalSequence>(RECORDS))
  t.is(recovered.snapshot?.through, pointer.kept[0]?.through)
  t.true(recovered.transitions.length < SNAPSHOT_MIN_TRANSITIONS + RECORD_TRANSITIONS)
  t.deepEqual(tasksOf(recovered), archive.expected.get(RECORDS))
})

type Damage = (content: Buffer) => Buffer | undefined

const DAMAGES: Readonly<Record<string, Damage>> = {
  truncated: content => content.subarray(0, content.length / 2),
  changed: content => Buffer.from(content.toString().replace('order-7', 'order-8')),
  gone: () => undefined
}

for (const [name, damage] of Object.entries(DAMAGES)) {
  test(`a snapshot that is ${name} is passed over for the older one`, async t => {
    const archive = await write()
    const [newest, older] = archive.pointer().kept
    const damaged = damage(Buffer.from(archive.world.objects.get(newest?.key ?? '') as Uint8Array))
    if (damaged === undefined) archive.world.objects.delete(newest?.key ?? '')
    else archive.world.objects.set(newest?.key ?? '', damaged)
    const recovered = await archive.recover()
    t.is(recovered.snapshot?.through, older?.through)
    t.deepEqual(tasksOf(recovered), archive.expected.get(RECORDS))
    archive.world.objects.delete(older?.key ?? '')
    t.is(await archive.recoveryError(), 'corrupt')
  })
}

test('a snapshot of a newer version is passed over for the older one', async t => {
  const archive = await write()
  const pointer = archive.pointer()
  const [newest, older] = pointer.kept
  const snapshot = JSON.parse(Buffer.from(archive.world.objects.get(newest?.key ?? '') as Uint8Array).toString()) as CellSnapshot
  const newer = Buffer.from(JSON.stringify({ ...snapshot, format: snapshot.format + 1 }))
  archive.world.objects.set(newest?.key ?? '', newer)
  archive.overwriteRow(snapshotPointerKey(CELL), { ...pointer, kept: [{ ...newest, digest: digestOf(newer) }, older] })
  const recovered = await archive.recover()
  t.is(recovered.snapshot?.through, older?.through)
  t.deepEqual(tasksOf(recovered), archive.expected.get(RECORDS))
})

const INVALID_RECORDS: ReadonlyArray<readonly [string, unknown, string]> = [
  ['of a newer version', { format: 2, epoch: 1, transitions: [] }, 'version-mismatch'],
  ['without a format', { epoch: 1, transitions: [] }, 'corrupt'],
  ['with an unknown transition', { format: 1, epoch: 1, transitions: [{ kind: 'vanished', task: 'order-1' }] }, 'corrupt'],
  ['cut short', { format: 1, epoch: 1 }, 'corrupt']
]

for (const [name, value, kind] of INVALID_RECORDS) {
  test(`a journal record ${name} stops the recovery`, async t => {
    const archive = await write()
    archive.overwriteRow(journalKey(CELL, archive.last), value)
    t.is(await archive.recoveryError(), kind)
  })
}

test('a gap in the journal stops the recovery', async t => {
  const archive = await write()
  const [newest] = archive.pointer().kept
  const key = journalKey(CELL, brand<JournalSequence>((newest?.through ?? 0) + 1))
  archive.world.table.transact({ id: 'forged', checks: [], puts: [], deletes: [key] })
  t.is(await archive.recoveryError(), 'corrupt')
})

for (const kind of ['killed-before', 'killed-after', 'answer-lost'] satisfies FaultKind[]) {
  test(`the writer is struck at each of its calls, ${kind}; what is durable is read back whole`, async t => {
    const plain = new JournalFixture()
    const counter = new FaultInjector(plain.world.clock, NO_FAULT)
    plain.world.link.setFates(counter.choose)
    await plain.writeJournal(await plain.claim('a'), 'a')
    // The first call reads the pointer before anything is written.
    for (let call = 2; call < counter.calls; call++) {
      const archive = new JournalFixture()
      const injector = new FaultInjector(archive.world.clock, { member: 'a', call, kind, pauseMs: 0 })
      const claimed = await archive.claim('a')
      archive.world.link.setFates(injector.choose)
      await archive.writeJournal(claimed, 'a')
      const recovered = await archive.recover()
      // A record whose answer never came is not in the writer's own list.
      const wanted = archive.expected.get(recovered.last) ?? plain.expected.get(recovered.last)
      t.deepEqual(tasksOf(recovered), wanted ?? [], `call ${call}`)
      t.true(injector.isInjected && recovered.last >= archive.last, `call ${call}`)
    }
  })
}
