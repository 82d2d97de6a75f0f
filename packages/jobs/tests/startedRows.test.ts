import test from 'ava'
import { readProgress } from '../src/rows.ts'

const encoded = (started: unknown): string => JSON.stringify({ phase: 'active', done: {}, failed: {}, checkpoints: {}, ...(started === undefined ? {} : { started }) })

test('progress with started tasks that cannot be read counts as damaged, progress of an earlier version does not', t => {
  t.not(readProgress(encoded(undefined)), undefined)
  t.not(readProgress(encoded({ '0.0': [1, 2], 0.1: 'all' })), undefined)
  for (const damaged of [1, 'all', { '0.0': 'some' }, { '0.0': ['1'] }, { '0.0': null }]) t.is(readProgress(encoded(damaged)), undefined, JSON.stringify(damaged))
})
