import test from 'ava'
import { brand, type ConfigVersion, type NoteId, type ServiceName, type TeamName } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, serviceSchema, type Configuration } from '@auburnpin/core'
import type { EndpointsNotice } from '@auburnpin/cluster'
import { World } from './support/World.ts'

const REPLICAS = 4
const START_TIMEOUT_MS = 20_000
const TAKEOVER_TIMEOUT_MS = 10_000

const VERSION = brand<ConfigVersion>(1)

const configuration: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: VERSION,
  services: {
    [brand<ServiceName>('stockline')]: {
      value: { ...serviceSchema.parse({ replicas: REPLICAS, resources: { processors: 1, memoryMb: 10 }, command: 'serve', team: 'franchise' }), team: brand<TeamName>('franchise') },
      changedBy: brand<NoteId>('first'),
      changedIn: VERSION
    }
  },
  teams: { [brand<TeamName>('franchise')]: { value: { quota: { processors: 100, memoryMb: 10_000, accelerators: 0 } }, changedBy: brand<NoteId>('first'), changedIn: VERSION } }
}

const countServing = (notice: EndpointsNotice): number => notice.endpoints.filter(endpoint => !endpoint.isLeaving).length

test('a takeover removes no endpoint from the gateways before the workers have reported', async t => {
  const world = new World(2, () => ({ kind: 'stay' }))
  const first = await world.openWithin('a', START_TIMEOUT_MS)
  first?.configure(configuration)
  t.true(await world.until(START_TIMEOUT_MS, () => world.published.some(notice => countServing(notice) === REPLICAS)))
  await first?.close(true)

  const second = await world.openWithin('b', START_TIMEOUT_MS)
  second?.configure(configuration)
  const isPublished = (): boolean => world.published.some(notice => notice.epoch === second?.claimed.epoch)
  t.true(await world.until(TAKEOVER_TIMEOUT_MS, isPublished))
  const published = world.published.filter(notice => notice.epoch === second?.claimed.epoch)
  t.deepEqual(published.map(countServing), published.map(() => REPLICAS))
  await second?.close(true)
})
