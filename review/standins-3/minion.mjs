/**
 * Stand-in of one minion, as the users' page on the protocol describes it. What a task does follows from its `spec`, a JSON
 * text: it runs for `ms` and ends `done`, or lasts if there is no `ms`.
 */
import { createServer } from 'node:http'
import { readJson, sendJson } from './http.mjs'

const HOLD_MAX_MS = 10_000
const MAX_ENDS = 500
const PING_MS = 1_500
/** An entry is removed after this much silence. */
const SILENCE_MS = 3 * PING_MS

export class Minion {
  #store
  #record
  #host
  #server
  #port = 0
  #sockets = new Set()
  #removal
  #bootAt = 0
  #clockStart
  #runs = new Map()
  #ended = []
  #lastEnd = 0
  #highestRun = new Map()
  #fence = 0
  #leaseUntil = 0
  #leaseTimer
  #waiters = new Set()
  #boot = 0
  isUp = false
  /** `both`: nothing passes; `answers`: calls arrive, and their answers are lost. */
  cutWay
  born = 0
  /** Asked for each call; returns a number of milliseconds if the call gets no answer and is carried out that much later. */
  lateness = () => undefined
  /** Asked for each call that was carried out; whether its answer is lost. */
  losesAnswer = () => false
  /** Called with each order to start, whatever becomes of it. */
  onOrder = () => {}

  /** `clockStartMs`: the clock of the first boot, which has been up for that long. */
  constructor ({ store, record, host, id, service, zone, kind, rack, capacity, clockStartMs = 60_000 }) {
    Object.assign(this, { id, service, zone, kind, rack, capacity })
    this.#store = store
    this.#record = record
    this.#host = host
    this.#clockStart = clockStartMs
  }

  get clockMs () {
    return Math.floor(performance.now() - this.#bootAt + this.#clockStart)
  }

  get running () {
    return [...this.#runs.values()]
  }

  async start () {
    this.#boot++
    this.#bootAt = performance.now()
    this.born = Date.now()
    this.isUp = true
    this.#server = createServer((request, response) => { this.#serve(request, response) })
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.#sockets.delete(socket))
    })
    await new Promise(resolve => { this.#server.listen(this.#port, this.#host, resolve) })
    this.#port = this.#server.address().port
    clearTimeout(this.#removal)
    this.#record('minion up', { minion: this.id, born: this.born })
    this.#store.put('servers', this.id, this.#entry)
  }

  get #entry () {
    return { service: this.service, address: `${this.#host}:${this.#port}`, zone: this.zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: this.capacity, labels: [this.kind, this.rack], clock_ms: this.clockMs, seq_num: 1, born: this.born }
  }

  /** The process dies; everything on it ends, and its entry is removed after three ping intervals unless it is back. */
  crash () {
    this.isUp = false
    this.#clockStart = 0
    clearTimeout(this.#leaseTimer)
    this.#record('minion crashes', { minion: this.id, running: this.running.map(({ task, run }) => `${task}#${run}`) })
    for (const run of this.running) this.#drop(run, 'crashed')
    this.#ended = []
    this.#lastEnd = 0
    this.#highestRun.clear()
    this.#fence = 0
    this.#leaseUntil = 0
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
    this.#removal = setTimeout(() => this.#store.remove('servers', this.id), SILENCE_MS)
  }

  /** Partitions the minion from the system's machines, both ways or only its answers; the store is still reached. */
  cut (way = 'both') {
    this.cutWay = way
    this.#record('minion is cut off', { minion: this.id, way })
  }

  get #isSilent () {
    return this.cutWay !== undefined
  }

  heal () {
    this.cutWay = undefined
    for (const socket of this.#sockets) socket.destroy()
    this.#record('minion is reached again', { minion: this.id })
  }

  /** A task that lasts fails, as it may at any time. */
  fail (run) {
    this.#end(run, 'failed')
  }

  close () {
    clearTimeout(this.#leaseTimer)
    clearTimeout(this.#removal)
    for (const socket of this.#sockets) socket.destroy()
    this.#server?.close()
  }

  async #serve (request, response) {
    const boot = this.#boot
    if (this.cutWay === 'both') return
    const body = await readJson(request)
    if (this.cutWay === 'both' || boot !== this.#boot) return
    const path = request.url
    if (path === '/healthz') return sendJson(response, 200, {})
    const expected = request.headers['x-auburnpin-expect-instance']
    if (expected !== undefined && expected !== this.id) return sendJson(response, 421, {})
    const lateMs = this.lateness(path, body)
    if (path === '/auburnpin/run-start') this.onOrder(body)
    if (lateMs !== undefined) {
      this.#record('call is left unanswered', { minion: this.id, path, task: body.task, run: body.run_id, fence: body.fence_token, untilMs: body.until_ms, clockMs: this.clockMs, carriedOutAfterMs: lateMs })
      setTimeout(() => this.#carryOutLate(path, body), lateMs)
      return
    }
    switch (path) {
      case '/auburnpin/run-start': {
        const outcome = this.#startRun(body)
        if (!this.losesAnswer()) return this.#answer(response, boot, outcome)
        this.#record('answer is lost', { minion: this.id, task: body.task, run: body.run_id, status: outcome.status })
        return
      }
      case '/auburnpin/run-stop': return this.#answer(response, boot, this.#stopRun(body))
      case '/auburnpin/pace': return this.#answer(response, boot, this.#pace(body))
      case '/auburnpin/hold': return await this.#hold(response, boot, body)
      default: return sendJson(response, 404, {})
    }
  }

  #answer (response, boot, { status, ...fields }) {
    if (this.#isSilent || boot !== this.#boot) return
    sendJson(response, status, { clock_ms: this.clockMs, born: this.born, ...fields })
  }

  #carryOutLate (path, body) {
    const outcome = !this.isUp ? { status: 0, reason: 'down' } : path === '/auburnpin/run-start' ? this.#startRun(body) : path === '/auburnpin/run-stop' ? this.#stopRun(body) : { status: 0 }
    this.#record('late call is carried out', { minion: this.id, born: this.born, path, task: body.task, run: body.run_id, fence: body.fence_token, clockMs: this.clockMs, outcome })
  }

  // Does nothing for a lower fencing token.
  #isFenced ({ fence_token: token = 0 }) {
    if (token < this.#fence) return true
    this.#fence = token
    return false
  }

  #extendLease (untilMs) {
    if (untilMs === undefined) return
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(untilMs, this.clockMs + HOLD_MAX_MS))
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => this.#checkLease(), Math.max(0, this.#leaseUntil - this.clockMs) + 1)
  }

  #checkLease () {
    if (this.clockMs < this.#leaseUntil) return this.#extendLease(this.#leaseUntil)
    for (const run of this.running) this.#end(run, 'lapsed')
  }

  #startRun (body) {
    const { task, run_id: run, spec, until_ms: untilMs, checkpoint = '' } = body
    if (this.#isFenced(body)) return { status: 409, reason: 'fence' }
    const existing = this.#runs.get(task)
    this.#extendLease(untilMs)
    if (existing?.run === run) return { status: 200 }
    if (run <= (this.#highestRun.get(task) ?? 0)) return { status: 409, reason: 'old' }
    if (untilMs === undefined || untilMs <= this.clockMs) return { status: 409, reason: 'late' }
    const { ms, cpu = 0 } = JSON.parse(spec)
    const used = this.running.reduce((sum, other) => sum + other.cpu, 0)
    if (used + cpu > this.capacity.cpu) return { status: 409, reason: 'room' }
    this.#highestRun.set(task, run)
    const started = { task, run, cpu, checkpoint, ms, startedAt: performance.now() }
    if (ms !== undefined) started.timer = setTimeout(() => this.#end(started, 'done'), ms)
    this.#runs.set(task, started)
    this.#record('run starts', { minion: this.id, born: this.born, task, run, fence: body.fence_token, running: true })
    return { status: 200 }
  }

  #stopRun (body) {
    const { task, run_id: run } = body
    if (this.#isFenced(body)) return { status: 409, reason: 'fence' }
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0))
    const existing = this.#runs.get(task)
    if (existing?.run === run) this.#end(existing, 'stopped')
    return { status: 200 }
  }

  #pace (body) {
    return this.#isFenced(body) ? { status: 409, reason: 'fence' } : { status: 200 }
  }

  async #hold (response, boot, body) {
    const { last_seen: lastSeen = 0, until_ms: untilMs, wait_ms: waitMs = 0 } = body
    if (this.#isFenced(body)) return this.#answer(response, boot, { status: 409, reason: 'fence' })
    this.#extendLease(untilMs)
    this.#ended = this.#ended.filter(([number]) => number > lastSeen)
    if (this.#ended.length === 0 && waitMs > 0) await this.#awaitEnd(waitMs)
    const running = this.running.map(({ task, run, checkpoint, ms, startedAt, cpu }) => [task, run, checkpoint, Math.min(100, Math.floor(100 * (performance.now() - startedAt) / (ms ?? 400))), cpu])
    this.#answer(response, boot, { status: 200, running, ended_runs: this.#ended.slice(0, MAX_ENDS) })
  }

  #awaitEnd (waitMs) {
    return new Promise(resolve => {
      const waiters = this.#waiters
      const timer = setTimeout(done, waitMs)
      function done () {
        clearTimeout(timer)
        waiters.delete(done)
        resolve()
      }
      waiters.add(done)
    })
  }

  #drop (run, how) {
    if (this.#runs.get(run.task) !== run) return false
    clearTimeout(run.timer)
    this.#runs.delete(run.task)
    this.#record('run ends', { minion: this.id, born: this.born, task: run.task, run: run.run, how, running: false })
    return true
  }

  #end (run, how) {
    if (!this.#drop(run, how)) return
    this.#ended.push([++this.#lastEnd, run.task, run.run, how, ''])
    for (const wake of [...this.#waiters]) wake()
  }
}
