import test from 'ava'
import fc from 'fast-check'
import { formatChange } from '../src/commands/formatChange.ts'
import { formatTable, TABLE_COLUMNS } from '../src/commands/formatTable.ts'
import { Program } from './support/Program.ts'

test('a table never exceeds 80 columns, whatever it contains', t => {
  const cell = fc.string({ maxLength: 120, unit: 'grapheme-ascii' })
  const table = fc.integer({ min: 1, max: 8 }).chain(columns => fc.tuple(
    fc.array(cell, { minLength: columns, maxLength: columns }),
    fc.array(fc.array(cell, { minLength: columns, maxLength: columns }), { maxLength: 6 })
  ))
  fc.assert(fc.property(table, ([header, rows]) => {
    const lines = formatTable(header, rows)
    t.is(lines.length, rows.length + 1)
    t.true(lines.every(line => line.length <= TABLE_COLUMNS))
  }), { seed: 8, numRuns: 300 })
})

test('a table that fits is not truncated', t => {
  t.deepEqual(formatTable(['TASK', 'STATE'], [['cream-watch', 'running']]), ['TASK         STATE', 'cream-watch  running'])
})

test('a changed declaration lists only the keys that differ', t => {
  const before = { slots: 8, resources: { processors: 4, memoryMb: 100 }, idempotentMethods: ['GET'] }
  const after = { slots: 4, resources: { processors: 4, memoryMb: 200 }, idempotentMethods: ['GET'] }
  t.deepEqual(formatChange({ action: 'changed', section: 'services', name: 'stockline', before, after }), [
    '~ services.stockline', '    resources.memoryMb: 100 -> 200', '    slots: 8 -> 4'
  ])
})

test('a command exits with code 0 and without an error when its reader closes the pipe early', async t => {
  const program = new Program('check', new URL('../../examples/lanka/settings-1.yaml', import.meta.url).pathname)
  program.closeOutput()
  t.is(await program.exit(), 0)
  t.is(program.errors, '')
})

test('a port that is in use makes the command exit with code 2 and a remedy', async t => {
  const first = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '1')
  t.teardown(() => first.signal('SIGKILL'))
  const taken = (await first.find(/platform at \S+:(\d+)/))
  const second = new Program('stand-in', '--port', taken, '--control-port', '0', '--workers', '1')
  t.is(await second.exit(), 2)
  t.regex(second.errors, /^invalid-request: listen EADDRINUSE.*\. Give a free port at an address of this VM/)
})
