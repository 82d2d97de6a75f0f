import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request, type IncomingMessage } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { stringify } from 'yaml'
import { splitAddress } from '@auburnpin/ports'
import { OperatorClient } from '../src/OperatorClient.ts'
import { entrySettings } from './support/entrySettings.ts'
import { Program, until } from './support/Program.ts'

const TOKEN = 'gateway-stop-operator-token'
const STREAM_BYTES = 32 * 1024 * 1024
const NOTE = {
  id: 'stockline-1',
  added: {
    teams: { franchise: { quota: { processors: 100, memoryMb: 100_000 } } },
    services: { stockline: { replicas: 2, resources: { processors: 1, memoryMb: 100 }, command: 'serve 1', team: 'franchise' } }
  }
}

const settingsOf = (platform: string): object => entrySettings({ platform, token: TOKEN, peerSecret: 'gateway-stop-peer-secret' })

const open = (address: string, path: string): Promise<IncomingMessage> => new Promise((resolve, reject) => {
  const [host, port] = splitAddress(address)
  request({ host, port, path, agent: false }, resolve).on('error', reject).end()
})

const statusOf = async (address: string, path: string): Promise<number> => {
  const incoming = await open(address, path)
  incoming.resume()
  return incoming.statusCode ?? 0
}

test('after SIGTERM under load, every request is answered until the health check fails and once after, and an open stream completes', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const standIn = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '2', '--data-centres', 'colombo')
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsOf(await standIn.find(/platform at (\S+)/))))
  const member = new Program('serve', '--settings', file)
  t.teardown(() => {
    if (!t.passed) t.log(member.output, member.errors, standIn.errors)
    member.signal('SIGKILL')
    standIn.signal('SIGKILL')
    rmSync(folder, { recursive: true })
  })
  const callers = await member.find(/"callers":"([^"]+)"/)
  const operator = new OperatorClient(await member.find(/"operators":"([^"]+)"/), TOKEN)
  await until(async () => (await operator.call('POST', '/v1/notes', NOTE)).ok)
  operator.close()
  await until(async () => await statusOf(callers, '/stockline/butter') === 200)

  const stream = await open(callers, `/stockline/large?bytes=${STREAM_BYTES}`)
  member.signal('SIGTERM')
  const statuses = new Set<number>()
  // A load balancer sends requests until the health check fails.
  await until(async () => {
    statuses.add(await statusOf(callers, '/stockline/butter'))
    return await statusOf(callers, '/.auburnpin/health') === 503
  })
  statuses.add(await statusOf(callers, '/stockline/butter'))
  t.deepEqual([...statuses], [200])
  let received = 0
  for await (const chunk of stream) received += (chunk as Buffer).length
  t.is(received, STREAM_BYTES)
  t.true(stream.complete)
  t.is(await member.exit(), 0)
})
