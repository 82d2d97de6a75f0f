import test from 'ava'
import { SilentLog } from '@auburnpin/common'
import { StandInPlatform } from '@auburnpin/stand-in'
import { Member } from '../src/Member.ts'
import { OperatorClient } from '../src/OperatorClient.ts'
import { settingsSchema } from '../src/settings/settingsSchema.ts'
import { until } from './support/Program.ts'

const TOKEN = 'outage-start-operator-token'
const NOTE = { id: 'first', added: { limits: { 'some-limit': { value: 1 } } } }

const createMember = (member: string, platform: string, contacts: readonly string[]): Member => new Member(settingsSchema.parse({
  member,
  contacts,
  region: { name: 'lk-west', dataCentres: ['colombo'] },
  dataCentre: 'colombo',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: 'outage-start-peer-secret' }],
  operators: [{ operator: 'tester', token: TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
}), new SilentLog())

const healthStatusOf = async (callers: string | undefined): Promise<number> => (await fetch(`http://${callers}/.auburnpin/health`)).status

test('a member started while the store is down takes configuration, members and cell owners from its contacts', async t => {
  const platform = new StandInPlatform()
  const address = await platform.listen()
  const first = createMember('entry-1', address, [])
  const firstAddresses = await first.start()
  const operator = new OperatorClient(firstAddresses.operators ?? '', TOKEN)
  await until(async () => (await operator.call('POST', '/v1/notes', NOTE)).ok)
  await until(async () => {
    const status = await operator.call<{ cells: Array<{ owner: string }> }>('GET', '/v1/status')
    return status.ok && status.val.cells[0]?.owner === 'entry-1'
  })
  platform.faults.set({ kind: 'down' })
  const second = createMember('entry-2', address, [firstAddresses.peers])
  const secondAddresses = await second.start()
  const secondOperator = new OperatorClient(secondAddresses.operators ?? '', TOKEN)
  t.teardown(async () => {
    platform.faults.set({ kind: 'none' })
    operator.close()
    secondOperator.close()
    await Promise.all([first.stop(), second.stop()])
    await platform.close()
  })
  await until(async () => second.configuration.current.version === 1)
  await until(async () => {
    const status = await secondOperator.call<{ members: Array<{ member: string }>, cells: Array<{ owner: string }> }>('GET', '/v1/status')
    return status.ok && status.val.members.some(row => row.member === 'entry-1') && status.val.cells[0]?.owner === 'entry-1'
  })
  t.is(await healthStatusOf(secondAddresses.callers), 200)
  t.is(await healthStatusOf(firstAddresses.callers), 200)
})
