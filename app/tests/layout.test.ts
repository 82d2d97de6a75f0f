import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { stringify } from 'yaml'
import { Program } from './support/Program.ts'

const settingsOf = (member: string, platform: string, cellsPerDataCentre: number): object => ({
  member,
  region: { name: 'lk-west', dataCentres: ['colombo'], cellsPerDataCentre },
  dataCentre: 'colombo',
  roles: ['scheduler'],
  listen: { peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: 'layout-peer-secret' }],
  platform: { table: platform, objects: platform, vmList: platform }
})

test('a process whose settings divide the region into other cells than the running member exits with code 3 and a remedy', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const standIn = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '1', '--data-centres', 'colombo')
  const platform = await standIn.find(/platform at (\S+)/)
  const serve = (member: string, cells: number): Program => {
    const file = join(folder, `${member}.yaml`)
    writeFileSync(file, stringify(settingsOf(member, platform, cells)))
    return new Program('serve', '--settings', file)
  }
  const first = serve('entry-1', 1)
  t.teardown(() => {
    for (const program of [first, standIn]) program.signal('SIGKILL')
    rmSync(folder, { recursive: true })
  })
  await first.find(/(Cell taken)/)
  const second = serve('entry-2', 2)
  t.is(await second.exit(), 3)
  t.regex(second.errors, /1 cell each; these settings say data centres colombo and 2 cells each/)
  t.regex(second.errors, /Correct region\.dataCentres and region\.cellsPerDataCentre/)
})
