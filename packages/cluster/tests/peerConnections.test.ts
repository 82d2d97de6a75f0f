import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import test from 'ava'
import { pack } from 'msgpackr'
import { WebSocketServer } from 'ws'
import { brand, SeededRandom, SilentLog, SystemClock, VirtualClock, type Clock, type ConfigVersion, type MemberId } from '@auburnpin/common'
import { PEER_IDLE_TIMEOUT_MS, PEER_RECONNECT_MS, WebSocketPeers, type PeerOptions } from '../src/index.ts'

const OLD_KEY = { id: 'old', secret: 'old-secret-old-secret' }
const NEW_KEY = { id: 'new', secret: 'new-secret-new-secret' }

const create = (name: string, options: Partial<PeerOptions> = {}, clock: Clock = new SystemClock()): WebSocketPeers => {
  const peers = new WebSocketPeers({ member: brand<MemberId>(name), host: '127.0.0.1', port: 0, keys: [OLD_KEY], ...options }, clock, new SeededRandom(name.charCodeAt(0)), new SilentLog())
  peers.onRequest(async () => ({ kind: 'configuration', configuration: null }))
  return peers
}

const until = async (holds: () => boolean, tries = 500): Promise<boolean> => {
  for (let attempt = 0; attempt < tries; attempt++) {
    if (holds()) return true
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  return holds()
}

const isAnswered = async (from: WebSocketPeers, to: string): Promise<boolean> =>
  (await from.request(brand<MemberId>(to), { kind: 'read-configuration', after: brand<ConfigVersion>(0) })).ok

const introduce = (peers: WebSocketPeers, member: string, address: string): void =>
  peers.setMembers(new Map([[brand<MemberId>(member), address]]))

const PAIRINGS: ReadonlyArray<Readonly<{ what: string, one: Partial<PeerOptions>, other: Partial<PeerOptions>, isConnected: boolean }>> = [
  { what: 'the same key', one: {}, other: {}, isConnected: true },
  { what: 'a key in rotation, where both have the old and the new key,', one: { keys: [NEW_KEY, OLD_KEY] }, other: { keys: [OLD_KEY, NEW_KEY] }, isConnected: true },
  { what: 'a key that the other does not have', one: { keys: [NEW_KEY] }, other: { keys: [OLD_KEY] }, isConnected: false },
  { what: 'the id of a known key with another secret', one: { keys: [{ ...OLD_KEY, secret: NEW_KEY.secret }] }, other: {}, isConnected: false },
  { what: 'overlapping protocol versions', one: { protocols: { newest: 3, oldest: 2 } }, other: { protocols: { newest: 2, oldest: 1 } }, isConnected: true },
  { what: 'no common protocol version', one: { protocols: { newest: 4, oldest: 3 } }, other: { protocols: { newest: 2, oldest: 1 } }, isConnected: false }
]

for (const { what, one, other, isConnected } of PAIRINGS) {
  test(`two members with ${what} ${isConnected ? 'connect in both directions' : 'refuse each other'}`, async t => {
    const [a, b] = [create('a', one), create('b', other)]
    t.teardown(async () => { await Promise.all([a.close(), b.close()]) })
    const addresses = [await a.listen(), await b.listen()]
    introduce(a, 'b', addresses[1] ?? '')
    introduce(b, 'a', addresses[0] ?? '')
    t.is(await until(() => a.others.length === 1 && b.others.length === 1, isConnected ? 500 : 30), isConnected)
    t.is(await isAnswered(a, 'b'), isConnected)
    t.is(await isAnswered(b, 'a'), isConnected)
  })
}

test('a listener that accepts every hello but does not have the key gets no connection', async t => {
  const caller = create('a')
  const impostor = new WebSocketServer({ host: '127.0.0.1', port: 0 })
  await once(impostor, 'listening')
  let hellos = 0
  impostor.on('connection', socket => {
    socket.send(pack({ kind: 'challenge', protocol: 1, oldest: 1, nonce: 'nonce' }))
    socket.on('message', () => {
      hellos++
      socket.send(pack({ kind: 'welcome', member: 'b', proof: 'guessed' }))
    })
  })
  t.teardown(async () => {
    await caller.close()
    impostor.close()
  })
  introduce(caller, 'b', `127.0.0.1:${(impostor.address() as AddressInfo).port}`)
  t.true(await until(() => hellos > 0))
  t.false(await until(() => caller.others.length > 0, 20))
})

test('keys change without a restart, and open connections stay open', async t => {
  const [a, b] = [create('a'), create('b')]
  t.teardown(async () => { await Promise.all([a.close(), b.close()]) })
  const address = await b.listen()
  introduce(a, 'b', address)
  t.true(await until(() => a.others.length === 1))
  b.setKeys([NEW_KEY, OLD_KEY])
  a.setKeys([NEW_KEY, OLD_KEY])
  b.setKeys([NEW_KEY])
  t.true(await isAnswered(a, 'b'))
  const fresh = create('c', { keys: [NEW_KEY] })
  t.teardown(() => fresh.close())
  introduce(fresh, 'b', address)
  t.true(await until(() => fresh.others.length === 1))
})

test('a process that has only contacts connects to the members at these addresses, but not to itself', async t => {
  const a = create('a')
  const address = await a.listen()
  const fresh = create('b', { contacts: ['127.0.0.1:1', address] })
  t.teardown(async () => { await Promise.all([a.close(), fresh.close()]) })
  await fresh.listen()
  t.true(await until(() => fresh.others.length === 1))
  t.deepEqual([...fresh.others], [brand<MemberId>('a')])
  t.true(await isAnswered(fresh, 'a'))
})

/** A TCP proxy that can drop all data of its open connections without closing them. */
class Relay {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #isDropping = false

  constructor (target: string) {
    this.#server = createServer(incoming => {
      const outgoing = connect(Number(target.split(':')[1]), '127.0.0.1')
      // Connections opened before `dropData()` drop all data; new ones work.
      const isOld = (): boolean => this.#isDropping && this.#sockets.has(incoming)
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
        from.on('error', () => {})
        from.on('close', () => to.destroy())
        from.on('data', chunk => { if (!isOld()) to.write(chunk) })
      }
      if (!this.#isDropping) this.#sockets.add(incoming)
    })
  }

  listen (): Promise<string> {
    return new Promise(resolve => this.#server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`)))
  }

  dropData (): void {
    this.#isDropping = true
  }

  close (): void {
    this.#server.close()
  }
}

test('a connection that receives nothing is closed, its pending requests fail, and a new connection replaces it', async t => {
  const clock = new VirtualClock()
  const [a, b] = [create('a', {}, clock), create('b', {}, clock)]
  const relay = new Relay(await b.listen())
  t.teardown(async () => {
    await Promise.all([a.close(), b.close()])
    relay.close()
  })
  introduce(a, 'b', await relay.listen())
  t.true(await until(() => a.others.length === 1))
  relay.dropData()
  const answered = isAnswered(a, 'b')
  for (let waitedMs = 0; waitedMs <= PEER_IDLE_TIMEOUT_MS + 2_000; waitedMs += 1_000) await clock.advance(1_000)
  t.true(await until(() => a.others.length === 0))
  t.false(await answered)
  await clock.advance(PEER_RECONNECT_MS * 2)
  t.true(await until(() => a.others.length === 1))
  t.true(await isAnswered(a, 'b'))
})
