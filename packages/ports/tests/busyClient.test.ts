import { Worker } from 'node:worker_threads'
import test from 'ava'
import { HttpClient } from '../src/index.ts'

const TIMEOUT_MS = 200
const BUSY_MS = 500

/** Serves requests on a thread of its own, so that it responds while the test's thread is busy. */
const SERVER = `
const { createServer } = require('node:http')
const { parentPort } = require('node:worker_threads')
const server = createServer((request, response) => { response.end('done') })
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

test('a response that arrived in time counts although the process was too busy to read it before the timeout', async t => {
  const server = new Worker(SERVER, { eval: true })
  t.teardown(async () => { await server.terminate() })
  const port = await new Promise<number>(resolve => { server.once('message', resolve) })
  const client = new HttpClient(1)
  t.teardown(() => client.close())
  const send = (): ReturnType<HttpClient['send']> => client.send({ address: `127.0.0.1:${port}`, method: 'POST', path: '/', body: 'x', timeoutMs: TIMEOUT_MS })
  t.true((await send()).ok)
  const response = send()
  // The request is written to the socket before the process gets busy, and timers run next after it was.
  await sleep(1)
  await new Promise(resolve => { setImmediate(resolve) })
  const busyUntil = performance.now() + BUSY_MS
  while (performance.now() < busyUntil);
  t.true((await response).ok)
})
