import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import type { ErrorKind } from '@auburnpin/common'
import { HttpClient, type HttpRequest } from '../src/index.ts'

const TIMEOUT_MS = 300
const LONG_MS = 5_000

/** Serves raw bytes, so that responses may be anything. */
const serve = async (t: ExecutionContext, onConnection: (socket: Socket) => void): Promise<string> => {
  const sockets = new Set<Socket>()
  const server: Server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    onConnection(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const clientFor = (t: ExecutionContext, maxSockets = 1): HttpClient => {
  const client = new HttpClient(maxSockets)
  t.teardown(() => client.close())
  return client
}

/** Fails instead of waiting for a call that has no outcome. */
const settled = async (promise: ReturnType<HttpClient['send']>): Promise<'ok' | ErrorKind | 'never' | 'thrown'> =>
  await Promise.race([
    promise.then(outcome => outcome.ok ? 'ok' as const : outcome.val.kind, () => 'thrown' as const),
    new Promise<'never'>(resolve => { setTimeout(() => resolve('never'), LONG_MS).unref() })
  ])

test('every response that is not whole HTTP ends the call with an unknown outcome', async t => {
  const responses: readonly [string, string][] = [
    ['a switch of protocols', 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n'],
    ['garbage', '\u0000\u0001 not HTTP\r\n\r\n'],
    ['a head that is too large', `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`],
    ['a body that is cut', 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc'],
    ['a wrong chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'],
    ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nabc'],
    ['nothing', '']
  ]
  for (const [name, response] of responses) {
    const address = await serve(t, socket => { socket.once('data', () => socket.end(response)) })
    const client = clientFor(t)
    t.is(await settled(client.send({ address, method: 'POST', path: '/', body: 'x', timeoutMs: TIMEOUT_MS })), 'unknown-outcome', name)
  }
})

test('a response whose connection stays open without its end is given up', async t => {
  for (const response of ['HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc', 'HTTP/1.1 200 OK\r\n\r\nabc']) {
    const address = await serve(t, socket => { socket.once('data', () => socket.write(response)) })
    t.is(await settled(clientFor(t).send({ address, method: 'POST', path: '/', body: 'x', timeoutMs: TIMEOUT_MS })), 'unknown-outcome', response.split('\r\n', 1)[0])
  }
})

test('a request that cannot be sent at all is told as not sent', async t => {
  const client = clientFor(t)
  const base = { method: 'POST', path: '/', body: 'x', timeoutMs: TIMEOUT_MS } as const
  const requests: readonly HttpRequest[] = [
    { ...base, address: 'nowhere' }, { ...base, address: '127.0.0.1:99999' }, { ...base, address: '127.0.0.1:x' }, { ...base, address: '' },
    { ...base, address: '127.0.0.1:1', headers: { expected: 'w\u00f6rker \u4e00\n' } }, { ...base, address: '127.0.0.1:1', path: '/a b' }
  ]
  for (const request of requests) t.is(await settled(client.send(request)), 'unreachable', JSON.stringify(request))
})

test('a call that waits for a free connection is given up at its own timeout', async t => {
  const address = await serve(t, () => {})
  const client = clientFor(t)
  let isFirstSettled = false
  const first = client.send({ address, method: 'POST', path: '/', body: 'x', timeoutMs: 2_000 }).then(() => { isFirstSettled = true })
  t.is(await settled(client.send({ address, method: 'POST', path: '/', body: 'x', timeoutMs: TIMEOUT_MS })), 'unreachable')
  t.false(isFirstSettled)
  await first
})

// Guards against calls that are given up although their response arrives, only slower than a timeout of the whole call allows.
test('a response that keeps arriving is read to its end however long it takes, up to a limit of its own', async t => {
  const address = await serve(t, socket => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n')
      let sent = 0
      const timer = setInterval(() => {
        socket.write('x'.repeat(100))
        sent += 100
        if (sent === 1_000) clearInterval(timer)
      }, TIMEOUT_MS / 3)
      socket.on('close', () => clearInterval(timer))
    })
  })
  const client = clientFor(t, 3)
  const request: HttpRequest = { address, method: 'GET', path: '/', timeoutMs: TIMEOUT_MS }
  const outcomes = await Promise.all([settled(client.send({ ...request, wholeTimeoutMs: LONG_MS })), settled(client.send(request)), settled(client.send({ ...request, wholeTimeoutMs: 2 * TIMEOUT_MS }))])
  t.deepEqual(outcomes, ['ok', 'unreachable', 'unreachable'])
})

test('a response that stalls is given up at the timeout of a call, whatever the limit of the whole', async t => {
  const address = await serve(t, socket => { socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nxx')) })
  t.is(await settled(clientFor(t).send({ address, method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, wholeTimeoutMs: 10 * LONG_MS })), 'unreachable')
})
