import test from 'ava'
import { brand, SeededRandom, SilentLog, type DataCentre, type JournalSequence, type MemberId, type TaskId } from '@auburnpin/common'
import { Cell, BaselinePolicy, SpreadPolicy, toSnapshot, type CellSnapshot, type Task, type Transition } from '@auburnpin/core'
import { claimCell, journalKey, snapshotPointerKey, type ClaimedCell } from '@auburnpin/cluster'
import { FakeObjectStore, FakeTableStore } from '@auburnpin/fakes'
import { RetryingTable } from '@auburnpin/ports'
import {
  digestOf, JournalWriter, readSnapshotPointer, recoverCell, SnapshotWriter, SNAPSHOT_MIN_TRANSITIONS, type RecoveredJournal, type SnapshotPointer
} from '../src/index.ts'
import { FaultInjector, type FaultKind } from './support/faults.ts'
import { CELL, specOf, World } from './support/World.ts'

const TASKS = 100
const RECORD_TRANSITIONS = 500
const RECORDS = 15
const SETTLE_MS = 15_000
const DEADLINE_MS = 10_000
const NO_FAULT = { member: 'a', call: Infinity, kind: 'paused', pauseMs: 0 } as const

/** A cell whose journal grows until it is trimmed; `expected` contains its tasks after each record. */
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

  tableOf (member: string): RetryingTable {
    return new RetryingTable(new FakeTableStore(this.world.table, this.world.link, member), this.world.clock, new SeededRandom(1), DEADLINE_MS)
  }

  objectsOf (member: string): FakeObjectStore {
    return new FakeObjectStore(this.world.objects, this.world.link, member)
  }

  async claim (member: string): Promise<ClaimedCell> {
    const identity = { member: brand<MemberId>(member), dataCentre: brand<DataCentre>('colombo'), roles: [], peerAddress: '', incarnation: member }
    const claimed = await claimCell(this.tableOf(member), new SeededRandom(1), identity, CELL, undefined)
    return claimed.unwrap() as ClaimedCell
  }

  /** Writes the records, each after the previous one is durable or its writer has been stopped by a fault. */
  async writeJournal (claimed: ClaimedCell, member: string): Promise<void> {
    const { clock } = this.world
    const cell = new Cell(claimed, new BaselinePolicy(new SpreadPolicy()))
    const ports = { table: this.tableOf(member), objects: this.objectsOf(member), clock, random: new SeededRandom(1), log: new SilentLog() }
    const pointer = await readSnapshotPointer(ports.table, CELL)
    const snapshots = new SnapshotWriter(ports, claimed, pointer.unwrap(), 0)
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
      journal.append(transitions, outcome => { if (outcome.ok) cell.markDurable(transitions, clock.now()) })
      await clock.advance(100)
    }
    await clock.advance(SETTLE_MS)
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

  /** Overwrites a row directly in the store. */
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
  const changes = Array.from({ length: RECORD_TRANSITIONS }, (_, index): Transition => {
    const task = brand<TaskId>(`order-${(index + record) % TASKS}`)
    const isUnrunnable = Math.floor(index / TASKS) % 2 === 0
    return isUnrunnable ? { kind: 'unrunnable', task, reason: { kind: 'waiting-for-room' } } : { kind: 'runnable', task }
  })
  return [...changes, { kind: 'withdrawn', task: brand<TaskId>(`order-${record}`), reason: { kind: 'by-caller' } }]
}

const durableTasks = (tasks: Iterable<Task>): readonly Task[] =>
  [...toSnapshot(brand<JournalSequence>(1), tasks).tasks].sort((left, right) => left.spec.id < right.spec.id ? -1 : 1)

const tasksOf = (recovered: RecoveredJournal): readonly Task[] => {
  const cell = new Cell({ cell: CELL, epoch: brand(2) }, new BaselinePolicy(new SpreadPolicy()))
  cell.restore(recovered.transitions, brand(0), recovered.snapshot?.tasks ?? [])
  return durableTasks(cell.state.tasks.values())
}

const write = async (): Promise<JournalFixture> => {
  const fixture = new JournalFixture()
  await fixture.writeJournal(await fixture.claim('a'), 'a')
  return fixture
}

test('the journal is trimmed up to the older of two snapshots, and the recovered state is the written one', async t => {
  const fixture = await write()
  const pointer = fixture.pointer()
  t.is(pointer.kept.length, 2)
  t.is(pointer.trimmed, pointer.kept[1]?.through as JournalSequence)
  t.is(fixture.world.table.read(journalKey(CELL, pointer.trimmed)), null)
  t.is(fixture.world.objects.size, 2)
  const recovered = await fixture.recover()
  t.is(recovered.last, brand<JournalSequence>(RECORDS))
  t.is(recovered.snapshot?.through, pointer.kept[0]?.through)
  t.true(recovered.transitions.length < SNAPSHOT_MIN_TRANSITIONS + RECORD_TRANSITIONS)
  t.deepEqual(tasksOf(recovered), fixture.expected.get(RECORDS))
})

type Damage = (content: Buffer) => Buffer | undefined

const DAMAGES: Readonly<Record<string, Damage>> = {
  truncated: content => content.subarray(0, content.length / 2),
  changed: content => Buffer.from(content.toString().replace('order-7', 'order-8')),
  deleted: () => undefined
}

for (const [name, damage] of Object.entries(DAMAGES)) {
  test(`a snapshot that is ${name} is skipped in favour of the older one`, async t => {
    const fixture = await write()
    const [newest, older] = fixture.pointer().kept
    const damaged = damage(Buffer.from(fixture.world.objects.get(newest?.key ?? '') as Uint8Array))
    if (damaged === undefined) fixture.world.objects.delete(newest?.key ?? '')
    else fixture.world.objects.set(newest?.key ?? '', damaged)
    const recovered = await fixture.recover()
    t.is(recovered.snapshot?.through, older?.through)
    t.deepEqual(tasksOf(recovered), fixture.expected.get(RECORDS))
    fixture.world.objects.delete(older?.key ?? '')
    t.is(await fixture.recoveryError(), 'corrupt')
  })
}

test('a snapshot with a newer format version is skipped in favour of the older one', async t => {
  const fixture = await write()
  const pointer = fixture.pointer()
  const [newest, older] = pointer.kept
  const snapshot = JSON.parse(Buffer.from(fixture.world.objects.get(newest?.key ?? '') as Uint8Array).toString()) as CellSnapshot
  const newer = Buffer.from(JSON.stringify({ ...snapshot, format: snapshot.format + 1 }))
  fixture.world.objects.set(newest?.key ?? '', newer)
  fixture.overwriteRow(snapshotPointerKey(CELL), { ...pointer, kept: [{ ...newest, digest: digestOf(newer) }, older] })
  const recovered = await fixture.recover()
  t.is(recovered.snapshot?.through, older?.through)
  t.deepEqual(tasksOf(recovered), fixture.expected.get(RECORDS))
})

const INVALID_RECORDS: ReadonlyArray<readonly [string, unknown, string]> = [
  ['with a newer format version', { format: 2, epoch: 1, transitions: [] }, 'version-mismatch'],
  ['without a format', { epoch: 1, transitions: [] }, 'corrupt'],
  ['with an unknown transition', { format: 1, epoch: 1, transitions: [{ kind: 'vanished', task: 'order-1' }] }, 'corrupt'],
  ['without transitions', { format: 1, epoch: 1 }, 'corrupt']
]

for (const [name, value, kind] of INVALID_RECORDS) {
  test(`a journal record ${name} aborts the recovery`, async t => {
    const fixture = await write()
    fixture.overwriteRow(journalKey(CELL, fixture.last), value)
    t.is(await fixture.recoveryError(), kind)
  })
}

test('a gap in the journal aborts the recovery', async t => {
  const fixture = await write()
  const [newest] = fixture.pointer().kept
  const key = journalKey(CELL, brand<JournalSequence>((newest?.through ?? 0) + 1))
  fixture.world.table.transact({ id: 'forged', checks: [], puts: [], deletes: [key] })
  t.is(await fixture.recoveryError(), 'corrupt')
})

for (const kind of ['killed-before', 'killed-after', 'response-lost'] satisfies FaultKind[]) {
  test(`a fault at each call of the writer (${kind}) loses no durable record`, async t => {
    const faultless = new JournalFixture()
    const counter = new FaultInjector(faultless.world.clock, NO_FAULT)
    faultless.world.link.setDeliveryPolicy(counter.deliveryPolicy)
    await faultless.writeJournal(await faultless.claim('a'), 'a')
    // Starts at 2: the first call reads the pointer before anything is written.
    for (let call = 2; call < counter.calls; call++) {
      const fixture = new JournalFixture()
      const injector = new FaultInjector(fixture.world.clock, { member: 'a', call, kind, pauseMs: 0 })
      const claimed = await fixture.claim('a')
      fixture.world.link.setDeliveryPolicy(injector.deliveryPolicy)
      await fixture.writeJournal(claimed, 'a')
      const recovered = await fixture.recover()
      // A record whose response was lost is missing from the writer's own expectations.
      const expected = fixture.expected.get(recovered.last) ?? faultless.expected.get(recovered.last)
      t.deepEqual(tasksOf(recovered), expected ?? [], `call ${call}`)
      t.true(injector.hasInjected && recovered.last >= fixture.last, `call ${call}`)
    }
  })
}
