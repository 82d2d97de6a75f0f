/**
 * Processor time of an owner of jobs as a function of its workers and starts per second: the built program for the
 * users' platform over real sockets, with a stand-in platform in this process. The arguments are the number of workers
 * and the starts per second; prints one JSON line. Further arguments are passed to Node, such as `--cpu-prof`.
 */
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { request } from 'node:http'
import { WirePlatform } from '../platform/standIn/WirePlatform.ts'

const WORKERS = Number(process.argv[2] ?? 245)
const STARTS_PER_SECOND = Number(process.argv[3] ?? 500)
const NODE_OPTIONS = process.argv.slice(4)
const TASKS_PER_JOB = 10
const RUN_MS = 800
const WARM_UP_MS = 4_000
const MEASURED_MS = 15_000
const CLOCK_TICKS_PER_SECOND = 100
const HTTP_OK = 200
const PROGRAM = fileURLToPath(new URL('../target/auburnpin.cjs', import.meta.url))
const PORTS = { host: '127.0.0.1', clients: 21_180, readiness: 21_181, metrics: 21_182 }

const submit = (id: string): Promise<number> => new Promise(resolve => {
  const steps = [{ count: TASKS_PER_JOB, cpu: 500, mem_mb: 10, estimate_ms: RUN_MS }]
  const outgoing = request({ host: '127.0.0.1', port: PORTS.clients, method: 'POST', path: `/drafts/${id}`, headers: { host: 'desk.example' } }, incoming => {
    incoming.resume()
    incoming.on('end', () => resolve(incoming.statusCode ?? 0))
  })
  outgoing.on('error', () => resolve(0))
  outgoing.end(JSON.stringify({ spec: 'bench', steps }))
})

// Fields 14 and 15 of /proc/PID/stat: time in user and in system mode, in clock ticks.
const processorSeconds = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ')
  return (Number(fields[13]) + Number(fields[14])) / CLOCK_TICKS_PER_SECOND
}

// VmHWM is the peak resident memory, in kilobytes.
const peakMemoryMb = (pid: number): number =>
  Math.round(Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1_024)

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const platform = new WirePlatform()
await platform.start(WORKERS, { runMs: RUN_MS, ending: 'done' })
const child = spawn(process.execPath, ['--single-threaded-gc', '--max-old-space-size=160', '--max-semi-space-size=16', ...NODE_OPTIONS, PROGRAM, `${PORTS.metrics}/metrics`], { env: { ...process.env, AUBURNPIN_SETTINGS: platform.writeSettings('bench-1', PORTS) }, stdio: ['ignore', 'ignore', 'inherit'] })
await sleep(WARM_UP_MS)
let jobs = 0
let accepted = 0
const submitting = setInterval(() => {
  void submit((++jobs).toString(16).padStart(16, '0')).then(status => { if (status === HTTP_OK) accepted++ })
}, 1_000 * TASKS_PER_JOB / STARTS_PER_SECOND)
await sleep(WARM_UP_MS)
const before = processorSeconds(child.pid ?? 0)
const startsBefore = platform.watch.events.length
await sleep(MEASURED_MS)
const cores = (processorSeconds(child.pid ?? 0) - before) / (MEASURED_MS / 1_000)
const starts = platform.watch.events.slice(startsBefore).filter(({ kind }) => kind === 'started').length / (MEASURED_MS / 1_000)
const peakMb = peakMemoryMb(child.pid ?? 0)
clearInterval(submitting)
process.stdout.write(`${JSON.stringify({ bench: 'jobOwner', workers: WORKERS, startsPerSecond: Math.round(starts), cores: Number(cores.toFixed(3)), msPerStart: Number((cores / starts * 1_000).toFixed(2)), peakMb, accepted, jobs })}\n`)
child.kill('SIGTERM')
await sleep(3_000)
platform.close()
process.exit(0)
