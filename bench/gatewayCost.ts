/**
 * Latency, processor time and memory of a gateway, compared with a plain Node `http` server in the same run.
 * Run: node --import tsx bench/gatewayCost.ts
 *
 * The gateway and the plain server each run in a separate process; the endpoint and the callers run in this one.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { Agent, createServer, request, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'
import { build } from 'hdr-histogram-js'
import { splitAddress } from '@auburnpin/ports'
import { StandInEndpoint } from '@auburnpin/stand-in'
import { GatewayRig } from '../packages/gateway/tests/support/GatewayRig.ts'

/** Resource usage that a child process reports. */
type Usage = Readonly<{ cpuMs: number, rssMb: number, connections: number }>

type ServerProcess = Readonly<{ process: ChildProcess, address: string }>

const REQUESTS = 20_000
const WARM_UP = 4_000
const CALLERS = 8
const IDLE_SESSIONS = 10_000
const CONCURRENT_CONNECTS = 100
const BYTES_PER_MB = 1024 * 1024
const ENDPOINT_SLOTS = 64

type Listener = Readonly<{ address: string, countConnections: () => Promise<number> }>

const serveGateway = async (endpoint: string): Promise<Listener> => {
  const rig = new GatewayRig({ endpoints: 0, slots: ENDPOINT_SLOTS })
  rig.addEndpoint(endpoint)
  await rig.start(1)
  const [gateway] = rig.gateways
  return { address: gateway?.address ?? '', countConnections: async () => gateway?.server.connections ?? 0 }
}

const servePlain = async (): Promise<Listener> => {
  const server = createServer((_, outgoing) => { outgoing.end('ok') })
  server.keepAliveTimeout = 0
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const countConnections = (): Promise<number> => new Promise(resolve => server.getConnections((_, count) => resolve(count)))
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, countConnections }
}

const runChild = async (role: string, endpoint: string): Promise<void> => {
  const { address, countConnections } = role === 'gateway' ? await serveGateway(endpoint) : await servePlain()
  const reportUsage = async (): Promise<void> => {
    globalThis.gc?.()
    const connections = await countConnections()
    const { user, system } = process.cpuUsage()
    process.send?.({ cpuMs: (user + system) / 1_000, rssMb: process.memoryUsage.rss() / BYTES_PER_MB, connections } satisfies Usage)
  }
  process.on('message', () => { void reportUsage() })
  process.send?.(address)
}

const startChild = async (role: string, endpoint: string): Promise<ServerProcess> => {
  const child = fork(fileURLToPath(import.meta.url), [role, endpoint], { execArgv: ['--expose-gc', '--import', 'tsx'] })
  const [address] = await once(child, 'message') as [string]
  return { process: child, address }
}

const requestUsage = async ({ process: child }: ServerProcess): Promise<Usage> => {
  child.send('usage')
  const [usage] = await once(child, 'message') as [Usage]
  return usage
}

const callOnce = (address: string, path: string, agent: Agent, headers: Record<string, string> = {}): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const [host, port] = splitAddress(address)
    request({ host, port, path, agent, headers }, incoming => {
      incoming.resume()
      incoming.on('end', () => resolve(incoming))
    }).on('error', reject).end()
  })

const measureLatency = async (address: string, path: string, requests: number): Promise<string> => {
  const agent = new Agent({ keepAlive: true, maxSockets: CALLERS })
  const durations = build({ highestTrackableValue: 60_000_000 })
  let remaining = requests
  const run = async (): Promise<void> => {
    while (remaining-- > 0) {
      const startedAt = performance.now()
      await callOnce(address, path, agent)
      durations.recordValue(Math.round((performance.now() - startedAt) * 1_000))
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, run))
  agent.destroy()
  return `p50 ${durations.getValueAtPercentile(50) / 1_000} ms, p99 ${durations.getValueAtPercentile(99) / 1_000} ms`
}

const measureRequests = async (name: string, server: ServerProcess, path: string): Promise<void> => {
  await measureLatency(server.address, path, WARM_UP)
  const before = await requestUsage(server)
  const latency = await measureLatency(server.address, path, REQUESTS)
  const cpuMs = (await requestUsage(server)).cpuMs - before.cpuMs
  console.log(`${name}: ${latency}, ${Math.round(REQUESTS / cpuMs * 1_000)} requests per second of its processor time`)
}

const measureIdle = async (name: string, server: ServerProcess, path: string): Promise<void> => {
  const before = await requestUsage(server)
  // Each session sends one request on its own connection, which stays open.
  const agents: Agent[] = []
  for (let index = 0; index < IDLE_SESSIONS; index += CONCURRENT_CONNECTS) {
    await Promise.all(Array.from({ length: CONCURRENT_CONNECTS }, async () => {
      const agent = new Agent({ keepAlive: true })
      agents.push(agent)
      await callOnce(server.address, path, agent, { 'auburnpin-session': 'new' })
    }))
  }
  const after = await requestUsage(server)
  console.log(`${name}: ${((after.rssMb - before.rssMb) * 1_024 / IDLE_SESSIONS).toFixed(1)} KB of resident memory per idle session (${before.rssMb.toFixed(0)} MB before, ${after.rssMb.toFixed(0)} MB with ${after.connections} open)`)
  for (const agent of agents) agent.destroy()
}

const main = async (): Promise<void> => {
  const endpoint = new StandInEndpoint(0, ENDPOINT_SLOTS)
  const endpointAddress = await endpoint.listen()
  const gateway = await startChild('gateway', endpointAddress)
  const plain = await startChild('plain', endpointAddress)
  await measureLatency(endpointAddress, '/butter', WARM_UP)
  console.log(`endpoint called directly: ${await measureLatency(endpointAddress, '/butter', REQUESTS)}`)
  await measureRequests('through the gateway', gateway, '/stockline/butter')
  await measureRequests('plain Node http server, no endpoint', plain, '/')
  await measureIdle('gateway', gateway, '/stockline/butter')
  await measureIdle('plain Node http server', plain, '/')
  for (const { process: child } of [gateway, plain]) child.kill()
  await endpoint.close()
}

const [role, endpoint] = process.argv.slice(2)
if (role === undefined) await main()
else await runChild(role, endpoint ?? '')
