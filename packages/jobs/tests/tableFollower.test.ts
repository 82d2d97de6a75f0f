import test, { type ExecutionContext } from 'ava'
import { brand, SilentLog, type RowVersion } from '@auburnpin/common'
import { OwnCommits } from '../src/OwnCommits.ts'
import { RecordingStore } from '../src/RecordingStore.ts'
import { TableFollower, TableListener, type RowKey, type RowStore, type RowTransaction, type StoredRow } from '../src/index.ts'
import { playAll, type GatedStore } from './support/Interleavings.ts'

const TABLE = 't'
const PARTS = ['a', 'b']
const ABSENT = 0

/** What a listener holds of each row, and every state of it that it was told of. */
class RecordingListener extends TableListener {
  readonly held = new Map<string, number>()
  readonly told: { key: string, version: number }[] = []

  replaceAll (rows: readonly StoredRow[]): void {
    const listed = new Map(rows.map(({ key, version }) => [key, Number(version)]))
    for (const key of this.held.keys()) if (!listed.has(key)) this.tell(key, ABSENT)
    for (const [key, version] of listed) this.tell(key, version)
  }

  update (changed: readonly StoredRow[], deleted: readonly RowKey[]): void {
    for (const { key, version } of changed) this.tell(key, version)
    for (const { key } of deleted) this.tell(key, ABSENT)
  }

  tell (key: string, version: number): void {
    if ((this.held.get(key) ?? ABSENT) === version) return
    this.told.push({ key, version })
    if (version === ABSENT) this.held.delete(key)
    else this.held.set(key, version)
  }
}

/** What happens beside a read of the whole table. */
type Story = Readonly<{
  /** Rows at the start, which the listener holds as well. */
  rows: readonly Readonly<{ part: string, key: string }>[]
  /** What this process does; it acts on the outcome at once. */
  own?: (actions: OwnActions) => Promise<void>
  /** What others do, one change after another. */
  others?: readonly ((store: GatedStore) => void)[]
  losesAnswer?: (transaction: RowTransaction) => boolean
}>

type OwnActions = Readonly<{ remove: (part: string, key: string) => Promise<void>, put: (part: string, key: string) => Promise<void> }>

const change = (part: string, key: string, kind: 'put' | 'delete') => (store: GatedStore): void => {
  store.rows.apply({ part, checks: [], puts: kind === 'put' ? [{ table: TABLE, key, value: 'by others' }] : [], deletes: kind === 'delete' ? [{ table: TABLE, key }] : [] })
}

const trim = (store: GatedStore): void => store.rows.trim()

const versionIn = (store: GatedStore, part: string, key: string): RowVersion => store.rows.read(TABLE, part, key)?.version ?? brand<RowVersion>(ABSENT)

/** What this process does with a row; it repeats what had no answer, and takes a row that is missing for removed. */
const ownActions = (client: RowStore, listener: RecordingListener, versions: ReadonlyMap<string, RowVersion>): OwnActions => ({
  remove: async (part, key) => {
    for (let tries = 0; tries < 3; tries++) {
      const outcome = await client.transact({ part, checks: [{ table: TABLE, key, version: versions.get(key) ?? brand<RowVersion>(ABSENT) }], puts: [], deletes: [{ table: TABLE, key }] })
      if (outcome.err) continue
      const { kind, version = 0 } = outcome.val
      const isGone = kind === 'committed' || outcome.val.rows.length === 0
      if (isGone && (listener.held.get(key) ?? ABSENT) <= version) listener.tell(key, ABSENT)
      return
    }
  },
  put: async (part, key) => {
    const outcome = await client.transact({ part, checks: [{ table: TABLE, key, version: versions.get(key) ?? brand<RowVersion>(ABSENT) }], puts: [{ table: TABLE, key, value: 'own' }], deletes: [] })
    if (outcome.ok && outcome.val.kind === 'committed' && (listener.held.get(key) ?? ABSENT) <= outcome.val.version) listener.tell(key, outcome.val.version)
  }
})

/** Whether the states that the listener was told of are in the order in which the row had them. */
const isForward = (told: readonly number[], states: readonly number[]): boolean => {
  let at = 0
  for (const version of told) {
    at = states.indexOf(version, at)
    if (at < 0) return false
  }
  return true
}

const playStory = async (t: ExecutionContext, { rows, own, others = [], losesAnswer = () => false }: Story, records = true): Promise<Readonly<{ played: number, backward: number }>> => {
  let backward = 0
  const played = await playAll(store => {
    for (const { part, key } of rows) store.rows.put(TABLE, part, key, 'old')
    const versions = new Map(rows.map(({ part, key }) => [key, versionIn(store, part, key)]))
    const states = new Map<string, number[]>(rows.map(({ key }) => [key, [Number(versions.get(key))]]))
    const apply = store.rows.apply.bind(store.rows)
    store.rows.apply = transaction => {
      const outcome = apply(transaction)
      for (const { key } of outcome.kind === 'committed' ? [...transaction.puts, ...transaction.deletes] : []) states.set(key, [...states.get(key) ?? [ABSENT], Number(versionIn(store, transaction.part, key))])
      return outcome
    }
    let left = 1
    store.losesAnswer = transaction => losesAnswer(transaction) && left-- > 0
    const listener = new RecordingListener()
    for (const [key, version] of versions) listener.held.set(key, version)
    const commits = new OwnCommits(TABLE)
    const client = records ? new RecordingStore(store, commits) : store
    const follower = new TableFollower(client, store.clock, new SilentLog(), TABLE, PARTS, listener, { commits })
    follower.start()
    void own?.(ownActions(client, listener, versions))
    void (async () => {
      for (const act of others) {
        await store.turn('others change a row')
        act(store)
      }
    })()
    return () => {
      follower.stop()
      for (const key of states.keys()) {
        const told = listener.told.filter(row => row.key === key).map(({ version }) => version)
        if (!isForward(told, states.get(key) ?? [])) {
          backward++
          if (records) t.fail(`${key}: told ${told.join()}, was ${(states.get(key) ?? []).join()}; ${store.trace.join(', ')}`)
        }
      }
      const present = new Map(PARTS.flatMap(part => store.rows.list({ table: TABLE, part, from: '', to: '' }).rows).map(({ key, version }) => [key, Number(version)]))
      t.deepEqual([...listener.held].sort(), [...present].sort())
      t.is(commits.size, 0)
    }
  })
  return { played, backward }
}

const STORIES: Readonly<Record<string, Story>> = {
  'this process deletes a row while others add and delete one': { rows: [{ part: 'a', key: 'x' }], own: ({ remove }) => remove('a', 'x'), others: [change('b', 'z', 'put'), change('b', 'z', 'delete')] },
  'this process deletes a row and the history is dropped': { rows: [{ part: 'a', key: 'x' }], own: ({ remove }) => remove('a', 'x'), others: [trim] },
  'this process changes a row that others change after it': { rows: [{ part: 'a', key: 'x' }], own: ({ put }) => put('a', 'x'), others: [change('b', 'y', 'put'), change('a', 'x', 'put')] },
  'this process deletes a row that others add again': { rows: [{ part: 'a', key: 'x' }], own: async ({ remove }) => { await remove('a', 'x') }, others: [change('a', 'x', 'put')] },
  'the answer to a deletion is lost, and it is repeated': { rows: [{ part: 'a', key: 'x' }], own: ({ remove }) => remove('a', 'x'), losesAnswer: () => true, others: [change('b', 'y', 'put')] },
  'this process adds a row that nobody had': { rows: [{ part: 'b', key: 'y' }], own: ({ put }) => put('a', 'x'), others: [change('b', 'y', 'delete')] },
  'others delete a row and add it again': { rows: [{ part: 'a', key: 'x' }, { part: 'b', key: 'y' }], others: [change('b', 'y', 'delete'), change('a', 'x', 'put'), change('b', 'y', 'put')] }
}

for (const [title, story] of Object.entries(STORIES)) {
  // Guards against a row that is told of again after this process has deleted it, such as a completed job that then runs again.
  test(`whatever order reads, changes and answers come in, a listener is never told of an earlier state: ${title}`, async t => {
    t.timeout(100_000)
    const { played } = await playStory(t, story)
    t.log(`${played} schedules`)
  })
}

test('the check of these stories finds rows that go back if what this process commits is not recorded', async t => {
  const { played, backward } = await playStory(t, STORIES['this process deletes a row and the history is dropped'] as Story, false)
  t.true(backward > 0)
  t.log(`${backward} of ${played} schedules`)
})
