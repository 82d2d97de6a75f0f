import test from 'ava'
import { brand, type ConfigVersion } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, mergeNote, noteSchema, type Configuration } from '../src/index.ts'

const BASE = brand<ConfigVersion>(0)

const note = (id: string, content: object) => noteSchema.parse({ id, ...content })

const teamNote = (id: string, team: string) =>
  note(id, { added: { teams: { [team]: { quota: { processors: 10, memoryMb: 1_000 } } } } })

const merge = (configuration: Configuration, ...notes: Array<ReturnType<typeof note>>): Configuration => {
  let current = configuration
  for (const each of notes) current = mergeNote(current, each, BASE).unwrap().configuration
  return current
}

test('two notes that change different names both succeed on the same base', t => {
  const configuration = merge(EMPTY_CONFIGURATION, teamNote('a', 'buyers'), teamNote('b', 'franchise'))
  t.is(configuration.version, brand<ConfigVersion>(2))
  t.deepEqual(Object.keys(configuration.teams), ['buyers', 'franchise'])
})

test('a note that changes a name changed since its base is a conflict whose message contains the other note', t => {
  const configuration = merge(EMPTY_CONFIGURATION, teamNote('first', 'buyers'))
  const late = note('second', { changed: { teams: { buyers: { quota: { processors: 99, memoryMb: 1 } } } } })
  const merged = mergeNote(configuration, late, BASE)
  t.true(merged.err)
  if (merged.err) {
    t.is(merged.val.kind, 'conflict')
    t.true(merged.val.message.includes('"first"'))
  }
})

test('a team with tasks cannot be withdrawn', t => {
  const withTask = merge(EMPTY_CONFIGURATION, teamNote('a', 'buyers'), note('b', {
    added: { tasks: { order: { kind: 'batch', team: 'buyers', resources: { processors: 1, memoryMb: 1 }, command: 'work 1' } } }
  }))
  const merged = mergeNote(withTask, note('c', { withdrawn: { teams: ['buyers'] } }), withTask.version)
  t.is(merged.err && merged.val.kind, 'invalid-request')
})
