/**
 * Starts the program of the deploy file as real processes against the project's stand-ins, and keeps a record.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** The start command of the deploy file. */
const COMMAND = ['--single-threaded-gc', '--max-old-space-size=160', '--max-semi-space-size=16', 'target/auburnpin.cjs', '9464/metrics']
const ENVIRONMENT = { AUBURNPIN_MAX_RESERVED_SHARE: '0.35' }
const METRICS_PORT = 9464
const POLL_MS = 50

export type Answer = Readonly<{ status: number, text: string }>

/** What the sheet says of a machine. */
export type Machine = Readonly<{ cpuShare: number, cores: number, linkMbps: number }>

const DEFAULT_MACHINE: Machine = { cpuShare: 0.675, cores: 1, linkMbps: 1_000 }

/** One process of the system. */
export class Node {
  readonly name: string
  readonly host: string
  readonly frontend: number
  readonly readiness: number
  output = ''
  settings = ''
  #child: ChildProcess | undefined

  constructor (name: string, host: string, frontend: number, readiness: number) {
    this.name = name
    this.host = host
    this.frontend = frontend
    this.readiness = readiness
  }

  start (): void {
    const { settings } = this
    const child = spawn(process.execPath, COMMAND, { env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ...ENVIRONMENT, AUBURNPIN_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.on('data', (chunk: Buffer) => { this.output += chunk.toString() })
    child.stderr.on('data', (chunk: Buffer) => { this.output += chunk.toString() })
    this.#child = child
  }

  get hasEnded (): boolean {
    return this.#child === undefined || this.#child.exitCode !== null || this.#child.signalCode !== null
  }

  /** The exit code or signal of a process that has ended. */
  get howEnded (): string {
    return this.#child?.signalCode ?? `code ${this.#child?.exitCode ?? ''}`
  }

  signal (signal: NodeJS.Signals): void {
    if (!this.hasEnded) this.#child?.kill(signal)
  }
}

/** Processes, clients and the record of one trial. */
export class Lab {
  readonly nodes: Node[] = []
  readonly #folder = mkdtempSync(join(tmpdir(), 'auburnpin-review-'))
  readonly #recordPath: string
  readonly #statusS: number
  readonly #startedAt = performance.now()

  /** `statusS`: how long the state of an ended submission is kept, `status_s` of the settings. */
  constructor (recordPath: string, statusS = 120) {
    this.#recordPath = recordPath
    this.#statusS = statusS
    writeFileSync(recordPath, '')
    process.on('exit', () => this.#end())
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => process.exit(2))
  }

  get now (): number {
    return performance.now() - this.#startedAt
  }

  record (what: string): void {
    appendFileSync(this.#recordPath, `${(this.now / 1_000).toFixed(3)} s  ${what}\n`)
  }

  #end (): void {
    for (const node of this.nodes) node.signal('SIGKILL')
    rmSync(this.#folder, { recursive: true, force: true })
  }

  /** Starts a process on a loopback address of its own. */
  async startNode (name: string, storeAddress: string, machine: Machine = DEFAULT_MACHINE): Promise<Node> {
    const host = await freeHost(this.nodes.map(node => node.host))
    const [frontend, readiness, control] = await Promise.all([freePort(host), freePort(host), freePort(host)])
    const node = new Node(name, host, frontend, readiness)
    this.nodes.push(node)
    node.settings = this.#writeSettings(node, control, storeAddress, machine)
    node.start()
    this.record(`process ${name} starts at ${host}:${frontend}`)
    return node
  }

  /** Starts a process again that has ended, with the same settings. */
  restart (node: Node): void {
    node.start()
    this.record(`process ${node.name} starts again`)
  }

  #writeSettings ({ name, host, frontend, readiness }: Node, control: number, storeAddress: string, { cpuShare, cores, linkMbps }: Machine): string {
    const path = join(this.#folder, `${name}.toml`)
    writeFileSync(path, `node_name = "${name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "${host}"
zone = "derby"
region = "midlands"
port_range = [7720,7735]
seeds = ["${host}:${control}"]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
[zones]
derby = "midlands"
[listen_addrs]
frontend = "${host}:${frontend}"
readiness = "${host}:${readiness}"
control_plane = "${host}:${control}"
[limits]
cpu_share = ${cpuShare}
cores = ${cores}
memory_mb = 350
max_fds = 4100
link_mbps = ${linkMbps}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 400
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = ${this.#statusS}
remote_factor = 1.5
[platform]
address = "${storeAddress}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
cross_shard = false
history_s = 20
`)
    return path
  }

  /** Waits until all processes are ready, and the cell has an owner. */
  async ready (limitMs = 20_000): Promise<void> {
    await this.until('all processes are ready', async () => {
      const answers = await Promise.all(this.nodes.map(node => send(node.host, node.readiness, 'GET', '/auburnpin/readyz', 'node').catch(() => undefined)))
      return answers.every(answer => answer?.status === 200) && this.nodes.some(({ output }) => output.includes('"message":"Term started"'))
    }, limitMs)
  }

  /** Sends a request as a client and records it with its answer. */
  async call (node: Node, method: string, path: string, body?: unknown): Promise<Answer | undefined> {
    const sentAt = this.now
    const answer = await send(node.host, node.frontend, method, path, 'desk.example', body).catch(() => undefined)
    this.record(`${method} ${path} to ${node.name}, sent at ${(sentAt / 1_000).toFixed(3)} s: ${answer === undefined ? 'no answer' : `${answer.status} ${answer.text}`}${body === undefined ? '' : `  ${shorten(JSON.stringify(body))}`}`)
    return answer
  }

  /** Polls a condition until it holds; a trial that waits too long could not run. */
  async until (what: string, holds: () => Promise<boolean> | boolean, limitMs: number): Promise<void> {
    const endsAt = performance.now() + limitMs
    while (!await holds()) {
      if (performance.now() > endsAt) {
        this.record(`could not run: waited ${limitMs} ms until ${what}`)
        process.exit(2)
      }
      await sleep(POLL_MS)
    }
  }
}

export const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const shorten = (text: string): string => text.length <= 300 ? text : `${text.slice(0, 100)}...${text.slice(-200)}`

export const stateOf = (answer: Answer | undefined): string => {
  try {
    const { state } = JSON.parse(answer?.text ?? '') as { state?: unknown }
    return typeof state === 'string' ? state : `status ${answer?.status ?? 0}`
  } catch {
    return `status ${answer?.status ?? 0}`
  }
}

const send = (host: string, port: number, method: string, path: string, hostHeader: string, body?: unknown): Promise<Answer> => new Promise((resolve, reject) => {
  const headers = { host: hostHeader, 'content-type': 'application/json', 'x-auburnpin-deadline-ms': '3000' }
  const outgoing = request({ host, port, method, path, headers, agent: false, timeout: 3_000 }, incoming => {
    let text = ''
    incoming.on('data', (chunk: Buffer) => { text += chunk.toString() })
    incoming.on('end', () => resolve({ status: incoming.statusCode ?? 0, text }))
    incoming.on('error', reject)
  })
  outgoing.on('timeout', () => outgoing.destroy(new Error('no answer in time')))
  outgoing.on('error', reject)
  outgoing.end(body === undefined ? undefined : JSON.stringify(body))
})

const freePort = (host: string): Promise<number> => new Promise((resolve, reject) => {
  const server = createServer()
  server.once('error', reject)
  server.listen(0, host, () => {
    const address = server.address()
    server.close(() => resolve(typeof address === 'object' && address !== null ? address.port : 0))
  })
})

const isFree = (host: string, port: number): Promise<boolean> => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

// The deploy file fixes the port of the metrics, so each process gets an address on which that port is free.
const freeHost = async (used: readonly string[]): Promise<string> => {
  for (let index = 1; index < 250; index++) {
    const host = `127.${1 + Math.floor(process.pid / 256) % 126}.${process.pid % 256}.${index}`
    if (!used.includes(host) && await isFree(host, METRICS_PORT)) return host
  }
  throw new Error('no free loopback address')
}
