import test from 'ava'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ReplayCommand } from '../src/commands/ReplayCommand.ts'

const TRACE = readFileSync(new URL('../../examples/traces/noisy-waves.jsonl', import.meta.url), 'utf8')
  .replace('"durationMs": 1800000', '"durationMs": 60000').split('\n').filter(line => !line.includes('"outcome"')).join('\n')

const replay = async (text: string): Promise<number> => {
  const file = join(mkdtempSync(join(tmpdir(), 'trace-')), 'trace.jsonl')
  writeFileSync(file, text)
  return await new ReplayCommand().run({ trace: file, policy: 'auburnpin' })
}

test('replay exits 0 when the outcomes are met, 1 when one is missed, 2 when the trace is invalid', async t => {
  t.is(await replay(`${TRACE}\n{"kind":"outcome","measure":"brokenInvariants","atMost":0}`), 0)
  t.is(await replay(`${TRACE}\n{"kind":"outcome","measure":"tasksFinished","atLeast":1000000}`), 1)
  t.is(await replay(`${TRACE}\n{"kind":"outcome","measure":"none","atLeast":1}`), 2)
  t.is(await new ReplayCommand().run({ trace: '/nowhere', policy: 'auburnpin' }), 2)
})
