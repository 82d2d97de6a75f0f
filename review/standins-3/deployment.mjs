/**
 * A small deployment on loopback addresses: the project's own processes, started with the command of the deploy file, a
 * stand-in store and stand-in minions.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { call, sleep } from './http.mjs'
import { Minion } from './minion.mjs'
import { Store } from './store.mjs'

const HOST = 'desk.example'
const ZONES = ['derby', 'nottingham', 'leicester', 'burton']
const METRICS_PORT = 9464
/** Time from the end of a process to its next start. */
const RESTART_DELAY_MS = 500

export class Deployment {
  store = new Store()
  minions = []
  processes = []
  #children = []
  #isClosing = false
  events = []
  #folder = mkdtempSync(join(tmpdir(), 'auburnpin-review-'))
  #file
  #startedAt = performance.now()
  // Each run has loopback addresses of its own, since the command of the deploy file fixes a port.
  #network = `127.${80 + process.pid % 100}.${1 + Math.floor(process.pid / 100) % 250}`

  constructor (recordPath) {
    this.#file = createWriteStream(recordPath)
  }

  /** Milliseconds since the start of the record. */
  get now () {
    return Math.round(performance.now() - this.#startedAt)
  }

  record = (what, fields = {}) => {
    const event = { at: this.now, what, ...fields }
    this.events.push(event)
    this.#file.write(`${JSON.stringify(event)}\n`)
  }

  /** `kinds`: the kind of each minion, one rack for every two. */
  async start ({ processes, kinds, capacity = { cpu: 64_000, mem_mb: 256_000, gpu: 0 }, bounds, routes }) {
    this.storeAddress = await this.store.listen('127.0.0.1')
    this.bounds = bounds
    this.store.put('op', 'config', {
      version: 7,
      routes: routes.map(({ name, ...others }) => ({ name, host: HOST, path_prefix: `/${name}/`, kind: 'non_idempotent', timeout_ms: 3_000, service: 'huvo11a', ...others })),
      services: [{ name: 'huvo11a', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: true, standby: false }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
    })
    for (const [index, kind] of kinds.entries()) {
      const minion = new Minion({ store: this.store, record: this.record, host: '127.0.0.1', id: `i-${String(index + 1).padStart(8, '0')}`, service: 'huvo11a', zone: ZONES[index % ZONES.length], kind, rack: `r1-${Math.floor(index / 2)}`, capacity })
      this.minions.push(minion)
      await minion.start()
    }
    for (let index = 0; index < processes; index++) await this.#startProcess(index)
    await this.until('the processes are ready', async () => (await Promise.all(this.processes.map(({ readiness }) => call({ address: readiness, method: 'GET', path: '/auburnpin/readyz', host: 'x' })))).every(({ status }) => status === 200))
  }

  async #startProcess (index) {
    const name = `edge-${ZONES[index % ZONES.length]}-${index + 1}`
    const ip = `${this.#network}.${index + 1}`
    const [frontend, readiness, control] = await Promise.all([freePort(ip), freePort(ip), freePort(ip)])
    const settings = join(this.#folder, `${name}.toml`)
    writeFileSync(settings, settingsText({ name, ip, zone: ZONES[index % ZONES.length], frontend, readiness, control, store: this.storeAddress, bounds: this.bounds }))
    // The `run` and `env` lines of deploy/system.toml.
    const deploy = readFileSync('deploy/system.toml', 'utf8')
    if (this.#isClosing) return
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const env = Object.fromEntries([.../^env = \{(.*)\}$/m.exec(deploy)[1].matchAll(/(\w+) = "(.*?)"/g)].map(([, key, value]) => [key, value]))
    if (!args.includes(`${METRICS_PORT}/metrics`)) throw new Error('The run line of the deploy file has changed')
    const child = spawn(program === 'node' ? process.execPath : program, args, { env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, ...env, AUBURNPIN_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const entry = { index, name, child, frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}`, hasEnded: false }
    for (const stream of [child.stdout, child.stderr]) {
      let rest = ''
      stream.on('data', chunk => {
        const lines = (rest + chunk).split('\n')
        rest = lines.pop()
        for (const line of lines) if (this.logs) this.record('log', { process: name, line })
      })
    }
    child.on('exit', (code, signal) => {
      entry.hasEnded = true
      this.record('process ended', { process: name, code, signal })
    })
    this.processes.push(entry)
    this.#children.push(entry)
    this.record('process started', { process: name, pid: child.pid })
  }

  /** Stops a process as the platform does, and starts it again. */
  async restart (entry, signal, delayMs = RESTART_DELAY_MS) {
    this.record('process is stopped', { process: entry.name, signal })
    this.processes = this.processes.filter(other => other !== entry)
    entry.child.kill(signal)
    const grace = setTimeout(() => entry.child.kill('SIGKILL'), this.bounds.grace_s * 1_000)
    await this.until('the process has ended', () => entry.hasEnded)
    clearTimeout(grace)
    await sleep(delayMs)
    await this.#startProcess(entry.index)
  }

  /** The process that owns the cell. */
  get owner () {
    const holder = this.store.read('terms', 'cell-0', 'term')?.holder
    return this.processes.find(({ name }) => name === holder)
  }

  /** A requester's call; repeated at another process after no response, a 502 or a 504, as the page says. */
  async request (method, path, body, tries = 5) {
    for (let attempt = 0; ; attempt++) {
      const target = this.processes[Math.floor(Math.random() * this.processes.length)]
      const answer = await call({ address: target.frontend, method, path, host: HOST, body })
      this.record('request', { method, path, process: target.name, status: answer.status, body: answer.body })
      if (![0, 502, 504].includes(answer.status) || attempt >= tries) return answer
      await sleep(200)
    }
  }

  async until (what, holds, limitMs = 20_000) {
    const endsAt = performance.now() + limitMs
    while (!await holds()) {
      if (performance.now() > endsAt) throw new Error(`Timed out waiting until ${what}`)
      await sleep(20)
    }
  }

  async close () {
    this.#isClosing = true
    for (const { child, hasEnded } of this.#children) if (!hasEnded) child.kill('SIGKILL')
    await sleep(100)
    for (const minion of this.minions) minion.close()
    this.store.close()
    rmSync(this.#folder, { recursive: true, force: true })
    await new Promise(resolve => { this.#file.end(resolve) })
  }
}

/** A requester's id: 16 hexadecimal digits. */
export const newId = () => Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')

/** Pairs of runs of one task that overlapped, by the minions' own record. */
export const overlaps = events => {
  const open = new Map()
  const found = []
  for (const { at, what, minion, task, run } of events) {
    if (what === 'run starts') {
      const others = (open.get(task) ?? []).filter(other => other.minion !== minion)
      for (const other of others) found.push({ task, first: other, second: { minion, run, at } })
      open.set(task, [...open.get(task) ?? [], { minion, run, at }])
    } else if (what === 'run ends') {
      open.set(task, (open.get(task) ?? []).filter(other => other.minion !== minion || other.run !== run))
      for (const pair of found) {
        if (pair.task === task && pair.endedAt === undefined && [pair.first, pair.second].some(one => one.minion === minion && one.run === run)) pair.endedAt = at
      }
    }
  }
  return found
}

/** Runs a case and exits with its result: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export const runCase = async (recordPath, play) => {
  const deployment = new Deployment(recordPath)
  const watchdog = setTimeout(() => finish(2, 'the case took too long'), 110_000)
  let isFinished = false
  const finish = async (code, why) => {
    if (isFinished) return
    isFinished = true
    clearTimeout(watchdog)
    deployment.record('result', { code, why })
    console.log(`${code === 0 ? 'held' : code === 1 ? 'BROKEN' : 'could not run'}: ${why}`)
    await deployment.close()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(2, 'the case was interrupted') })
  try {
    const { broken, why } = await play(deployment)
    await finish(broken ? 1 : 0, why)
  } catch (error) {
    await finish(2, error.stack)
  }
}

const freePort = host => new Promise((resolve, reject) => {
  const server = createServer()
  server.on('error', reject)
  server.listen(0, host, () => {
    const { port } = server.address()
    server.close(() => resolve(port))
  })
})

const settingsText = ({ name, ip, zone, frontend, readiness, control, store, bounds }) => `node_name = "${name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "${zone}"
region = "midlands"
port_range = [7720,7735]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invoke"
advice = ""
[zones]
${ZONES.map(other => `${other} = "midlands"`).join('\n')}
[listen_addrs]
frontend = "${ip}:${frontend}"
readiness = "${ip}:${readiness}"
control_plane = "${ip}:${control}"
[limits]
cpu_share = 0.27
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
${Object.entries(bounds).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
cross_shard = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
[cloud_api]
address = "127.0.0.1:9"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

/** Bounds of tsw-duct, and of tsw-duct-grown where they differ. */
export const SMALL_BOUNDS = { seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, downgrade_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 10000, stop_ms: 400, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 1.5, checkpoint_s: 2, restore_ms: 600, notice_ms: 4500, move_s: 1.5, maintenance_s: 2, fencing_enforced: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, violation_ms: 4000 }
export const GROWN_BOUNDS = { ...SMALL_BOUNDS, contact_ms: 4000, ack_ms: 6000, catch_up_s: 6, drain_ms: 3000, config_apply_ms: 3000, max_skew_ms: 6000, recovery_s: 15, gang_ms: 4000, cancel_ms: 4000, notice_ms: 5500, violation_ms: 4500 }
