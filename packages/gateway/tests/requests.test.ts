import test, { type ExecutionContext } from 'ava'
import { brand, VirtualClock, type CallerId, type EndpointId, type ServiceName } from '@auburnpin/common'
import type { Endpoint, RouteConstraints } from '@auburnpin/core'
import { ServiceRouter, SessionTokens } from '../src/index.ts'
import { call, sendRaw } from './support/call.ts'
import { GatewayRig, type RigOptions } from './support/GatewayRig.ts'

const startRig = async (t: ExecutionContext, options: RigOptions = {}): Promise<GatewayRig> => {
  const rig = await new GatewayRig(options).start(1)
  t.teardown(() => rig.stop())
  return rig
}

const LIMITS = { maxHeaderBytes: 4_000, maxHeaders: 20, maxBodyBytes: 1_000, headersMs: 300 }
const MANY_HEADERS = Array.from({ length: 30 }, (_, index) => `x-${index}: 1\r\n`).join('')

const MALFORMED = [
  { title: 'bytes that are not HTTP', bytes: 'butter and flour\r\n\r\n', status: 400 },
  { title: 'a body with both content-length and transfer-encoding', bytes: 'POST /stockline/ HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n', status: 400 },
  { title: 'headers that are too large', bytes: `GET /stockline/ HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(5_000)}\r\n\r\n`, status: 431 },
  { title: 'too many headers', bytes: `GET /stockline/ HTTP/1.1\r\nhost: a\r\n${MANY_HEADERS}\r\n`, status: 431 },
  { title: 'a whole URL as the target', bytes: 'GET http://elsewhere/stockline/ HTTP/1.1\r\nhost: a\r\n\r\n', status: 400 },
  { title: 'a path that names no service', bytes: 'GET /constructor/ HTTP/1.1\r\nhost: a\r\n\r\n', status: 404 },
  { title: 'a body declared too large', bytes: 'POST /stockline/ HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n\r\n', status: 413 },
  { title: 'a forged session token', bytes: 'GET /stockline/ HTTP/1.1\r\nhost: a\r\nauburnpin-session: eyJrZXkiOiJmaXJzdCJ9.forged\r\n\r\n', status: 400 },
  { title: 'a caller name that is too long', bytes: `GET /stockline/ HTTP/1.1\r\nhost: a\r\nauburnpin-caller: ${'c'.repeat(300)}\r\n\r\n`, status: 400 }
] as const

for (const { title, bytes, status } of MALFORMED) {
  test(`${title}: ${status} with a remedy, and no endpoint receives it`, async t => {
    const rig = await startRig(t, { limits: LIMITS })
    const response = await sendRaw(rig.gateways[0]?.address ?? '', bytes)
    t.regex(response, new RegExp(`^HTTP/1\\.1 ${status} `))
    t.regex(response, /"remedy":"\S/)
    t.regex(response, /auburnpin-outcome: not-run/)
    t.is(rig.endpoints.reduce((sum, endpoint) => sum + endpoint.peakConnections, 0), 0)
  })
}

test('a chunked body that exceeds the limit is rejected and never runs', async t => {
  const rig = await startRig(t, { limits: LIMITS })
  const chunk = `400\r\n${'b'.repeat(1_024)}\r\n`
  const response = await sendRaw(rig.gateways[0]?.address ?? '', `POST /stockline/ HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk}${chunk}`)
  t.regex(response, /^HTTP\/1\.1 413 /)
  t.is(rig.runs.length, 0)
})

test('a GET with a chunked body reaches the endpoint with its body', async t => {
  const rig = await startRig(t)
  const response = await sendRaw(rig.gateways[0]?.address ?? '', 'GET /stockline/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\ncream\r\n0\r\n\r\n')
  t.regex(response, /"bytes":5/)
  t.is(rig.runs.length, 1)
})

test('an endpoint receives the caller\'s name, but no other headers of auburnpin and no hop-by-hop headers', async t => {
  const rig = await startRig(t)
  const headers = {
    'auburnpin-caller': 'galle', 'auburnpin-request-id': 'forged', 'auburnpin-outcome': 'not-run', connection: 'keep-alive, x-hop', 'x-hop': '1', 'x-kept': '2', cookie: 'a=1; auburnpin-session=new'
  }
  const response = await call(rig.gateways[0]?.address ?? '', '/stockline/', { headers })
  t.is(response.status, 200)
  const seen = rig.runs[0]?.headers ?? {}
  t.is(seen['auburnpin-caller'], 'galle')
  t.is(seen['auburnpin-request-id'], response.headers['auburnpin-request-id'])
  t.is(seen['auburnpin-outcome'], undefined)
  t.is(seen['x-hop'], undefined)
  t.is(seen['x-kept'], '2')
  t.is(seen.cookie, 'a=1')
})

test('a session stays with its endpoint across requests and key rotation, and moves when the endpoint leaves', async t => {
  const rig = await startRig(t)
  const address = rig.gateways[0]?.address ?? ''
  let token = (await call(address, '/stockline/', { headers: { 'auburnpin-session': 'new' } })).headers['auburnpin-session'] as string
  const sessionEndpoint = rig.endpoints.findIndex(endpoint => endpoint.handledRequests.length > 0)
  rig.sessionKeys = [{ id: 'second', secret: 'rig-second-secret' }, ...rig.sessionKeys]
  for (let count = 0; count < 5; count++) {
    token = (await call(address, '/stockline/', { headers: { cookie: `auburnpin-session=${token}` } })).headers['auburnpin-session'] as string
  }
  t.is(rig.endpoints[sessionEndpoint]?.handledRequests.length, 6)
  rig.publish([sessionEndpoint])
  const moved = await call(address, '/stockline/', { headers: { 'auburnpin-session': token } })
  t.is(moved.status, 200)
  t.is(rig.endpoints[sessionEndpoint]?.handledRequests.length, 6)
})

test('a token is only valid unmodified and signed with a configured key', t => {
  const signer = new SessionTokens(() => [{ id: 'a', secret: 'secret-of-a' }])
  const session = { service: brand<ServiceName>('stockline'), endpoint: brand<EndpointId>('replica-0/1') }
  const token = signer.issue(session)
  t.deepEqual(signer.read(token).unwrap(), session)
  const [content = '', signature = ''] = token.split('.')
  const other = Buffer.from(JSON.stringify({ key: 'a', ...session, endpoint: 'replica-1/1' })).toString('base64url')
  for (const forged of [`${other}.${signature}`, content, `${content}.`, '', 'new.new', `${Buffer.from('null').toString('base64url')}.x`]) t.true(signer.read(forged).err)
  t.true(new SessionTokens(() => [{ id: 'a', secret: 'another-secret' }]).read(token).err)
  t.true(new SessionTokens(() => [{ id: 'b', secret: 'secret-of-a' }]).read(token).err)
})

const CALLER = brand<CallerId>('galle')
const ROUTE: RouteConstraints = { tried: new Set() }
const ENDPOINT = { id: 'replica-0/1', service: 'stockline', vm: 'vm-0', dataCentre: 'colombo', address: '127.0.0.1:1', slots: 1, connections: 64, isLeaving: false } as unknown as Endpoint

test('a request that can\'t be served in time is rejected at once with Retry-After', async t => {
  const clock = new VirtualClock()
  const router = new ServiceRouter(clock, 100)
  router.update([ENDPOINT])
  for (let count = 0; count < 200; count++) {
    const slot = await router.acquire(CALLER, ROUTE, 10_000)
    await clock.advance(1_000)
    router.release(slot.unwrap(), 'answered')
  }
  const held = await router.acquire(CALLER, ROUTE, 10_000)
  const waiting = Array.from({ length: 5 }, () => router.acquire(CALLER, ROUTE, 10_000))
  const before = clock.now()
  const refused = await router.acquire(CALLER, ROUTE, 2_000)
  t.is(clock.now(), before)
  t.true(refused.err && refused.val.status === 503 && refused.val.isNotRun)
  t.is(refused.err ? refused.val.retryAfterSeconds : 0, 5)
  await clock.advance(10_000)
  for (const each of waiting) t.true((await each).err)
  t.is(router.queued, 0)
  router.release(held.unwrap(), 'answered')
  t.is(router.spareShare, 1)
})

test('excess requests of one caller are rejected at once; other callers are served in turn', async t => {
  const clock = new VirtualClock()
  const router = new ServiceRouter(clock, 10)
  router.update([ENDPOINT])
  const held = await router.acquire(CALLER, ROUTE, 1_000)
  const flood = Array.from({ length: 50 }, () => router.acquire(CALLER, ROUTE, 1_000))
  const quiet = router.acquire(brand<CallerId>('quiet'), ROUTE, 1_000)
  t.is(router.queued, 6)
  const refused = await Promise.all(flood.slice(5))
  t.true(refused.every(result => result.err && result.val.isNotRun))
  router.release(held.unwrap(), 'answered')
  const first = await flood[0]
  router.release(first?.unwrap() as never, 'answered')
  t.true((await quiet).ok)
  await clock.advance(1_000)
})
