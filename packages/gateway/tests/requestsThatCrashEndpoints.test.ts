import test, { type ExecutionContext } from 'ava'
import { call, until, type ReceivedResponse } from './support/call.ts'
import { GatewayRig } from './support/GatewayRig.ts'

const ENDPOINTS = 12
/** The first try and two retries. */
const MAX_LOST = 3

const startRig = async (t: ExecutionContext, gateways: number): Promise<GatewayRig> => {
  const rig = await new GatewayRig({ endpoints: ENDPOINTS, queueMs: 2_000 }).start(gateways)
  t.teardown(() => rig.stop())
  for (const endpoint of rig.endpoints) endpoint.setFault('crash-on-request')
  await until(() => rig.isConnected)
  rig.refresh()
  return rig
}

const send = (rig: GatewayRig, method: string, path: string): Promise<ReceivedResponse> =>
  call(rig.gateways[0]?.address ?? '', `/stockline/${path}`, { method, body: method === 'POST' ? 'butter' : undefined })

const crashed = (rig: GatewayRig): number => rig.endpoints.filter(({ hasCrashed }) => hasCrashed).length

for (const gateways of [1, 3]) {
  test(`a request that may be repeated takes down no more endpoints than it has tries: ${gateways} gateways`, async t => {
    const rig = await startRig(t, gateways)
    const response = await send(rig, 'GET', 'crash')
    t.is(response.headers['auburnpin-outcome'], 'unknown')
    t.true(crashed(rig) >= 1 && crashed(rig) <= MAX_LOST, `${crashed(rig)} crashed`)
  })

  test(`a request that may not be repeated takes down one endpoint: ${gateways} gateways`, async t => {
    const rig = await startRig(t, gateways)
    const response = await send(rig, 'POST', 'crash')
    t.is(response.headers['auburnpin-outcome'], 'unknown')
    t.is(crashed(rig), 1)
  })
}

test('after a request has taken down as many endpoints as it has tries, the others answer each request', async t => {
  const rig = await startRig(t, 1)
  await send(rig, 'GET', 'crash')
  for (let count = 0; count < ENDPOINTS; count++) t.is((await send(rig, 'GET', 'butter')).status, 200)
})
