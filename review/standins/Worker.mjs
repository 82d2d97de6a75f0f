/**
 * Stand-in for a worker of the platform: it runs tasks under a lease on its own clock, keeps the highest fencing
 * token, guards its capacity, and lists the ends of runs, 500 at a time, until they are taken note of.
 */
import { createServer } from 'node:http'
import { readBody, sendJson, sleep } from './http.mjs'

const MAX_ENDS_PER_REPORT = 500
const MAX_WAIT_MS = 2_000
const STOP_MS = 20
const HOLD_POLL_MS = 5

export class Worker {
  id
  address = ''
  /** Events for the record and the check. */
  #emit
  #settings
  #labels
  #server = createServer((request, response) => { this.#serve(request, response).catch(error => response.destroy(error)) })
  #born = Date.now()
  #bootedAt = performance.now()
  #fence = 0
  #leaseEndMs = 0
  #leaseTimer
  #runs = new Map()
  #highest = new Map()
  #ends = []
  #lastEnd = 0
  #notedEnd = 0
  #isDown = false
  #boot = 0

  /** `taskOf` returns what a task needs and does: `cpu`, `mem_mb`, `ms`, `how`, `savesEveryMs`, `requires`. */
  constructor (id, settings, taskOf, emit) {
    this.id = id
    this.#settings = settings
    this.#labels = settings.labels
    this.taskOf = taskOf
    this.#emit = (kind, fields) => emit({ kind, worker: id, boot: this.#boot, ...fields })
  }

  async listen (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
  }

  close () {
    clearTimeout(this.#leaseTimer)
    for (const run of this.#runs.values()) clearTimeout(run.timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  get clockMs () {
    return Math.floor(performance.now() - this.#bootedAt)
  }

  /** Its zone and rack. */
  get rackKey () {
    return `${this.#settings.zone}/${this.#labels[1]}`
  }

  get runningCount () {
    return this.#runs.size
  }

  get entry () {
    const { service, zone, cpu, memMb } = this.#settings
    return JSON.stringify({ service, address: this.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: { cpu, mem_mb: memMb, gpu: 0 }, labels: this.#labels, seq_num: 1, clock_ms: this.clockMs, born: this.#born })
  }

  /** Crashes: everything that runs ends, and no call is answered. */
  crash () {
    this.#isDown = true
    clearTimeout(this.#leaseTimer)
    for (const run of this.#runs.values()) {
      clearTimeout(run.timer)
      this.#emit('crashed', { task: run.task, run: run.run })
    }
    this.#runs.clear()
    this.#ends = []
    this.#server.closeAllConnections()
  }

  /** Starts again under the same id, with nothing of before, maybe as another kind. */
  restart (labels = this.#labels) {
    this.#isDown = false
    this.#boot++
    this.#born = Date.now()
    this.#labels = labels
    this.#bootedAt = performance.now()
    this.#fence = 0
    this.#leaseEndMs = 0
    this.#highest.clear()
    this.#lastEnd = 0
    this.#notedEnd = 0
  }

  async #serve (request, response) {
    const body = JSON.parse(await readBody(request) || '{}')
    if (this.#isDown) {
      request.socket.destroy()
      return
    }
    if (request.headers['x-auburnpin-expect-instance'] !== this.id) {
      this.#send(response, 421, {})
      return
    }
    if ((body.fence_token ?? 0) < this.#fence) {
      this.#send(response, 409, { reason: 'fence' })
      return
    }
    this.#fence = body.fence_token ?? 0
    this.#expireLease()
    if (request.url === '/auburnpin/run-start') this.#start(body, response)
    else if (request.url === '/auburnpin/run-stop') this.#stop(body, response)
    else if (request.url === '/auburnpin/hold') await this.#hold(body, response)
    else if (request.url === '/auburnpin/pace') this.#send(response, 200, {})
    else this.#send(response, 404, {})
  }

  #send (response, status, body) {
    sendJson(response, status, { clock_ms: this.clockMs, born: this.#born, ...body })
  }

  #start ({ task, run_id: run, until_ms: untilMs, checkpoint = '' }, response) {
    const present = this.#runs.get(task)
    if (present?.run === run) {
      this.#extendLease(untilMs)
      this.#send(response, 200, {})
      return
    }
    if (present !== undefined || run <= (this.#highest.get(task) ?? 0)) {
      this.#extendLease(untilMs)
      this.#send(response, 409, { reason: 'old' })
      return
    }
    if (untilMs <= this.clockMs) {
      this.#send(response, 409, { reason: 'late' })
      return
    }
    this.#extendLease(untilMs)
    const needs = this.taskOf(task)
    if (needs === undefined) {
      this.#emit('unasked', { task, run })
      this.#send(response, 400, {})
      return
    }
    let { cpu, mem_mb: memMb = 0 } = needs
    for (const other of this.#runs.values()) {
      cpu += other.needs.cpu
      memMb += other.needs.mem_mb ?? 0
    }
    if (cpu > this.#settings.cpu || memMb > this.#settings.memMb) {
      this.#send(response, 409, { reason: 'room' })
      return
    }
    const started = { task, run, needs, startedAt: performance.now(), checkpoint, timer: undefined }
    this.#highest.set(task, run)
    this.#runs.set(task, started)
    if (needs.ms !== undefined) started.timer = setTimeout(() => { this.#expireLease(); this.#end(started, needs.how ?? 'done') }, needs.ms)
    this.#emit('start', { task, run, ...(needs.requires === undefined ? {} : { requires: needs.requires, labels: this.#labels }) })
    this.#send(response, 200, {})
  }

  #stop ({ task, run_id: run }, response) {
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0))
    const present = this.#runs.get(task)
    if (present?.run === run) setTimeout(() => this.#end(present, 'stopped'), STOP_MS)
    this.#send(response, 200, {})
  }

  async #hold ({ last_seen: lastSeen = 0, until_ms: untilMs, wait_ms: waitMs = 0 }, response) {
    const boot = this.#boot
    if (untilMs !== undefined) this.#extendLease(untilMs)
    for (const { n, task, run, how } of this.#ends) if (n <= lastSeen) this.#emit('noted', { task, run, how })
    this.#ends = this.#ends.filter(({ n }) => n > lastSeen)
    this.#notedEnd = Math.max(this.#notedEnd, lastSeen)
    const endsAt = performance.now() + Math.min(waitMs, MAX_WAIT_MS)
    while (performance.now() < endsAt && this.#ends.length === 0) {
      await sleep(HOLD_POLL_MS)
      if (this.#isDown || this.#boot !== boot) {
        response.destroy()
        return
      }
    }
    this.#expireLease()
    const listed = this.#ends.slice(0, MAX_ENDS_PER_REPORT)
    for (const end of listed) {
      if (!end.isListed) this.#emit('listed', { task: end.task, run: end.run, how: end.how })
      end.isListed = true
    }
    this.#send(response, 200, {
      running: [...this.#runs.values()].map(run => [run.task, run.run, this.#saved(run), this.#percent(run), run.needs.cpu]),
      ended_runs: listed.map(({ n, task, run, how, saved }) => [n, task, run, how, saved])
    })
  }

  #percent ({ needs: { ms }, startedAt }) {
    return ms === undefined ? 100 : Math.min(100, Math.floor(100 * (performance.now() - startedAt) / ms))
  }

  // A new value with each `savesEveryMs` of work.
  #saved ({ needs: { savesEveryMs }, startedAt, checkpoint }) {
    if (savesEveryMs === undefined) return ''
    const saves = Math.floor((performance.now() - startedAt) / savesEveryMs)
    return saves === 0 ? checkpoint : saves.toString(16).padStart(16, '0')
  }

  #end (run, how) {
    if (this.#runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    const saved = this.#saved(run)
    this.#runs.delete(run.task)
    this.#ends.push({ n: ++this.#lastEnd, task: run.task, run: run.run, how, saved, isListed: false })
    this.#emit('end', { task: run.task, run: run.run, how })
  }

  #extendLease (untilMs) {
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(untilMs, this.clockMs + this.#settings.holdMaxMs))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => this.#expireLease(), this.#leaseEndMs - this.clockMs + 1)
  }

  // A timer may be late, and then an expired lease must not be extended.
  #expireLease () {
    if (this.#leaseEndMs === 0 || this.clockMs <= this.#leaseEndMs) return
    this.#leaseEndMs = 0
    this.#emit('lapsed', {})
    for (const run of [...this.#runs.values()]) this.#end(run, 'lapsed')
  }
}
