import fc, { type Scheduler } from 'fast-check'
import test from 'ava'
import { brand, SeededRandom, SilentLog, VirtualClock, type AuburnpinError, type ConfigVersion, type MemberId, type Result } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, noteSchema, type AuditEntry, type Configuration, type Note } from '@auburnpin/core'
import { FakeLink, FakePeers, FakeTableStore, IMMEDIATE, type CallDelivery, type FakePeerNetwork } from '@auburnpin/fakes'
import { RetryingTable, TableStore, type Row, type RowPage, type Transaction, type TransactionOutcome } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import { acceptNote, AUDIT_PREFIX, ConfigurationFollower, KEPT_CONFIGURATIONS, readCurrentConfiguration, STORE_DEADLINE_MS } from '../src/index.ts'

const IN_FORCE_MS = 5_000
const LOST: CallDelivery = { ...IMMEDIATE, loss: 'there' }

const limitNote = (id: string, name: string, action: 'added' | 'changed' = 'added', value = 1): Note =>
  noteSchema.parse({ id, [action]: { limits: { [name]: { value } } } })

/** A table whose calls run in an order that `fast-check` chooses. */
class ScheduledTable extends TableStore {
  readonly #inner: TableStore
  readonly #scheduler: Scheduler

  constructor (inner: TableStore, scheduler: Scheduler) {
    super()
    this.#inner = inner
    this.#scheduler = scheduler
  }

  async read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    await this.#scheduler.schedule(Promise.resolve())
    return await this.#inner.read(key)
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#inner.list(prefix, after, limit)
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    await this.#scheduler.schedule(Promise.resolve())
    return await this.#inner.transact(transaction)
  }
}

const auditOf = (memory: MemoryTable): AuditEntry[] =>
  memory.list(AUDIT_PREFIX, '', 1_000).rows.map(row => (row.value as { value: AuditEntry }).value)

test('of 20 concurrent notes with overlapping names each accepted one is in the history once, and each refusal names the conflicting note', async t => {
  await fc.assert(fc.asyncProperty(fc.scheduler(), fc.array(fc.integer({ min: 0, max: 6 }), { minLength: 20, maxLength: 20 }), async (scheduler, names) => {
    const clock = new VirtualClock()
    const memory = new MemoryTable()
    const random = new SeededRandom(1)
    const inner = new FakeTableStore(memory, new FakeLink(clock), 'a')
    const results = await scheduler.waitFor(Promise.all(names.map(async (name, index) => {
      const table = new RetryingTable(new ScheduledTable(inner, scheduler), clock, random, STORE_DEADLINE_MS)
      const id = `note-${index}`
      return { id, name, result: await acceptNote({ table, clock, random }, limitNote(id, `limit-${name}`), 'tester') }
    })))
    const history = auditOf(memory).map(entry => entry.note as string)
    const accepted = results.filter(({ result }) => result.ok)
    t.deepEqual([...history].sort(), accepted.map(({ id }) => id).sort())
    t.is(accepted.length, new Set(names).size)
    for (const { name, result } of results) {
      if (result.ok) continue
      const winner = accepted.find(other => other.name === name)?.id ?? 'none'
      t.true(result.val.message.includes(`"${winner}"`), result.val.message)
    }
  }), { seed: 20, numRuns: 40 })
})

test('a note sent again through another member after a lost response is accepted once', async t => {
  const clock = new VirtualClock()
  const memory = new MemoryTable()
  const link = new FakeLink(clock)
  const ports = (member: string) => {
    const random = new SeededRandom(member.length)
    return { clock, random, table: new RetryingTable(new FakeTableStore(memory, link, member), clock, random, 1_000) }
  }
  const note = limitNote('one', 'limit')
  link.setDeliveryPolicy((_from, _to, operation) => operation.startsWith('transact') ? { ...IMMEDIATE, loss: 'back' } : IMMEDIATE)
  const first = acceptNote(ports('a'), note, 'tester')
  await clock.advance(20_000)
  t.is((await first).err && (await first).val instanceof Error, true)
  link.setDeliveryPolicy(() => IMMEDIATE)
  const second = (await acceptNote(ports('bb'), note, 'tester')).unwrap()
  t.true(second.isRepeat)
  t.is(auditOf(memory).length, 1)
})

test('the rows of old configurations are deleted and the audit trail is kept', async t => {
  const clock = new VirtualClock()
  const memory = new MemoryTable()
  const random = new SeededRandom(1)
  const table = new RetryingTable(new FakeTableStore(memory, new FakeLink(clock), 'a'), clock, random, 1_000)
  const notes = KEPT_CONFIGURATIONS + 20
  for (let index = 0; index < notes; index++) {
    const note = limitNote(`note-${index}`, 'limit', index === 0 ? 'added' : 'changed', index + 1)
    t.true((await acceptNote({ table, clock, random }, note, 'tester')).ok)
  }
  t.is(memory.list('config/', '', 1_000).rows.length, KEPT_CONFIGURATIONS + 1)
  t.is(auditOf(memory).length, notes)
})

/** Several followers that are peers of each other, on one virtual clock. */
class Followers {
  readonly clock = new VirtualClock()
  readonly memory = new MemoryTable()
  readonly #link = new FakeLink(this.clock)
  readonly #network: FakePeerNetwork = new Map()
  readonly #random = new SeededRandom(3)
  readonly running = new Map<string, ConfigurationFollower>()
  readonly #peers = new Map<string, FakePeers>()
  deliveryOf: (from: string, to: string) => CallDelivery = () => IMMEDIATE

  constructor (count: number) {
    this.#link.setDeliveryPolicy((from, to) => this.deliveryOf(from, to))
    for (let index = 1; index <= count; index++) this.start(`m${index}`)
  }

  start (name: string): ConfigurationFollower {
    this.#peers.get(name)?.disconnect()
    const peers = new FakePeers(brand<MemberId>(name), this.#network, this.#link)
    const follower = new ConfigurationFollower(this.#tableOf(name), peers, this.clock, new SilentLog())
    peers.onRequest(async request => request.kind === 'read-configuration' ? follower.answer(request.after) : { kind: 'endpoints', published: [] })
    follower.start()
    this.running.set(name, follower)
    this.#peers.set(name, peers)
    return follower
  }

  async accept (through: string, note: Note): Promise<number> {
    const accepted = (await acceptNote({ table: this.#tableOf(through), clock: this.clock, random: this.#random }, note, 'tester')).unwrap()
    this.#peers.get(through)?.broadcast({ kind: 'configuration-accepted', version: accepted.version })
    return accepted.version
  }

  get versions (): number[] {
    return [...this.running.values()].map(follower => follower.current.version)
  }

  #tableOf (name: string): TableStore {
    return new RetryingTable(new FakeTableStore(this.memory, this.#link, name), this.clock, this.#random, 1_000)
  }
}

const SPLITS: ReadonlyArray<Readonly<{ what: string, deliveryOf: (from: string, to: string) => CallDelivery }>> = [
  { what: 'all connections working', deliveryOf: (_from, to) => to === 'store' ? IMMEDIATE : { ...IMMEDIATE, requestDelayMs: 3, responseDelayMs: 3 } },
  { what: 'every notice lost', deliveryOf: (_from, to) => to === 'store' ? IMMEDIATE : LOST },
  { what: 'one member without the store', deliveryOf: (from, to) => from === 'm9' && to === 'store' ? LOST : IMMEDIATE },
  { what: 'half of the members without the store', deliveryOf: (from, to) => 'm2m4m6m8'.includes(from) && to === 'store' ? LOST : IMMEDIATE },
  { what: 'one member without peers', deliveryOf: (from, to) => (from === 'm9' || to === 'm9') && to !== 'store' ? LOST : IMMEDIATE }
]

for (const { what, deliveryOf } of SPLITS) {
  test(`a note is in force at every member within 5 s of acceptance: ${what}`, async t => {
    const followers = new Followers(9)
    await followers.accept('m1', limitNote('first', 'limit'))
    await followers.clock.advance(10_000)
    followers.deliveryOf = deliveryOf
    await followers.clock.advance(10_000)
    const version = await followers.accept('m1', limitNote('second', 'limit', 'changed', 2))
    await followers.clock.advance(IN_FORCE_MS)
    t.deepEqual(followers.versions, Array.from({ length: 9 }, () => version))
    t.true([...followers.running.values()].every(follower => follower.isInTouch))
  })
}

test('a process started in an outage of the store adopts the newest configuration of its peers', async t => {
  const followers = new Followers(5)
  await followers.accept('m1', limitNote('first', 'limit'))
  await followers.clock.advance(5_000)
  followers.deliveryOf = (_from, to) => to === 'store' ? { ...IMMEDIATE, loss: 'refused' } : IMMEDIATE
  const fresh = followers.start('m3')
  await followers.clock.advance(IN_FORCE_MS)
  t.is(fresh.current.version as number, 1)
  t.true(fresh.isInTouch)
})

test('a process isolated from store and peers reports it within 8 s, keeps its configuration, and catches up afterwards', async t => {
  const followers = new Followers(5)
  await followers.accept('m1', limitNote('first', 'limit'))
  await followers.clock.advance(5_000)
  followers.deliveryOf = (from, to) => from === 'm5' || to === 'm5' ? LOST : IMMEDIATE
  const isolated = followers.running.get('m5') as ConfigurationFollower
  await followers.accept('m1', limitNote('second', 'limit', 'changed', 2))
  await followers.clock.advance(8_000)
  t.false(isolated.isInTouch)
  t.is(isolated.current.version as number, 1)
  const adopted: number[] = []
  isolated.onChange(configuration => adopted.push(configuration.version))
  followers.deliveryOf = () => IMMEDIATE
  await followers.clock.advance(5_000)
  t.true(isolated.isInTouch)
  t.deepEqual(adopted, [2])
})

test('a sole member keeps its configuration through an outage of the store, but not if it never had contact', async t => {
  const followers = new Followers(1)
  await followers.clock.advance(3_000)
  const alone = followers.running.get('m1') as ConfigurationFollower
  alone.expectPeers(false)
  followers.deliveryOf = () => ({ ...IMMEDIATE, loss: 'refused' })
  await followers.clock.advance(60_000)
  t.true(alone.isInTouch)
  const fresh = followers.start('m2')
  await followers.clock.advance(10_000)
  t.false(fresh.isInTouch)
})

const rowOf = (key: string, value: object) => ({ key, value: { transaction: 'earlier', value } })

test('a configuration of an earlier release, in the store or at a peer, has no evacuations and can be read', async t => {
  const memory = new MemoryTable()
  const clock = new VirtualClock()
  const link = new FakeLink(clock)
  const { evacuations: _, ...earlier } = { ...EMPTY_CONFIGURATION, version: brand<ConfigVersion>(1) }
  memory.transact({ id: 'earlier', checks: [], deletes: [], puts: [rowOf('config/current', { version: 1 }), rowOf('config/000000000001', earlier)] })
  t.deepEqual((await readCurrentConfiguration(new FakeTableStore(memory, link, 'new'))).unwrap().configuration.evacuations, {})

  const network: FakePeerNetwork = new Map()
  const old = new FakePeers(brand<MemberId>('old'), network, link)
  old.onRequest(async () => ({ kind: 'configuration', configuration: earlier as Configuration }))
  const follower = new ConfigurationFollower(new FakeTableStore(new MemoryTable(), link, 'new'), new FakePeers(brand<MemberId>('new'), network, link), clock, new SilentLog())
  follower.start()
  old.broadcast({ kind: 'configuration-accepted', version: earlier.version })
  await clock.advance(IN_FORCE_MS)
  t.like(follower.current, { version: earlier.version, evacuations: {} })
})
