import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { stringify } from 'yaml'
import { OperatorClient } from '../src/OperatorClient.ts'
import { entrySettings } from './support/entrySettings.ts'
import { Program, until } from './support/Program.ts'

const TOKEN = 'whole-path-operator-token'
const NOTE = {
  id: 'stockline-1',
  added: {
    teams: { franchise: { quota: { processors: 100, memoryMb: 100_000 } } },
    services: { stockline: { replicas: 2, resources: { processors: 1, memoryMb: 100 }, command: 'serve 1', team: 'franchise' } },
    tasks: { replenish: { kind: 'batch', team: 'franchise', resources: { processors: 1, memoryMb: 100 }, command: 'work 10' } }
  }
}

const settingsOf = (platform: string): object => entrySettings({ platform, token: TOKEN, peerSecret: 'whole-path-peer-secret' })

test('separate processes apply a note, answer a caller, finish a task and exit with code 0 on SIGTERM', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const standIn = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '2', '--data-centres', 'colombo')
  const platform = await standIn.find(/platform at (\S+)/)
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsOf(platform)))
  const member = new Program('serve', '--settings', file)
  t.teardown(() => {
    member.signal('SIGKILL')
    standIn.signal('SIGKILL')
    rmSync(folder, { recursive: true })
  })
  const callers = await member.find(/"callers":"([^"]+)"/)
  const operator = new OperatorClient(await member.find(/"operators":"([^"]+)"/), TOKEN)
  await until(async () => (await operator.call('POST', '/v1/notes', NOTE)).ok)

  await until(async () => (await fetch(`http://${callers}/stockline/butter`)).status === 200)
  const response = await fetch(`http://${callers}/stockline/butter`)
  t.is((await response.json() as { path: string }).path, '/butter')

  await until(async () => {
    const jobs = await operator.call<{ tasks: Array<{ spec: { id: string }, state: string }> }>('GET', '/v1/jobs')
    return jobs.ok && jobs.val.tasks.some(task => task.spec.id === 'replenish' && task.state === 'finished')
  })

  operator.close()
  member.signal('SIGTERM')
  t.is(await member.exit(), 0)
})

test('invalid settings make serve exit with code 2 and one line per fault', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify({ ...settingsOf('platform.example:1'), colour: 'red' }))
  const member = new Program('serve', '--settings', file)
  t.teardown(() => rmSync(folder, { recursive: true }))
  t.is(await member.exit(), 2)
  const lines = member.errors.trim().split('\n')
  t.is(lines.length, 4)
  t.true(lines.every(line => /settings\.yaml:\d+: .*\. \S/.test(line)))
})
