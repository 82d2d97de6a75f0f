/**
 * A VM's worker on loopback: runs stand-in tasks by the rules of the worker contract and records what ran.
 */
import { JsonServer, type StandInResponse, type StandInRequest } from './JsonServer.ts'
import { parseCommand } from './parseCommand.ts'
import { reportEntry } from './reportEntry.ts'
import { StandInEndpoint } from './StandInEndpoint.ts'
import {
  WorkerState, type WorkerAttempt, type WorkerEntry, type WorkerLeaseRequest, type WorkerRefusal, type WorkerResources, type WorkerStart
} from './WorkerState.ts'

type RunningTask = { timer?: NodeJS.Timeout, endpoint?: StandInEndpoint, startedAt: number, progressMs: number }

const MAX_SAMPLES = 60

/** A worker and the endpoints of its services. */
export class StandInWorker {
  readonly #state: WorkerState
  readonly #server = new JsonServer(request => this.#handle(request))
  readonly #running = new Map<WorkerEntry, RunningTask>()
  readonly #endpoints: StandInEndpoint[] = []
  readonly #samples: Array<Readonly<{ measuredAt: number, tasks: readonly object[] }>> = []
  readonly #resources: WorkerResources
  #leaseTimer: NodeJS.Timeout | undefined
  #isUnresponsive = false

  constructor (resources: WorkerResources) {
    this.#resources = resources
    this.#state = new WorkerState(resources, entry => this.#run(entry), entry => this.#halt(entry))
  }

  get state (): WorkerState {
    return this.#state
  }

  /** Resources of the VM. */
  get room (): WorkerResources {
    return this.#resources
  }

  /** All endpoints that the worker has opened, also those closed since. */
  get endpoints (): readonly StandInEndpoint[] {
    return this.#endpoints
  }

  /** An unresponsive worker accepts calls and never responds; its tasks and its lease continue. */
  setUnresponsive (isUnresponsive: boolean): void {
    this.#isUnresponsive = isUnresponsive
  }

  listen (port = 0): Promise<string> {
    return this.#server.listen(port)
  }

  /** Stops the worker as if its VM had crashed: all tasks end at once. */
  async close (): Promise<void> {
    clearTimeout(this.#leaseTimer)
    this.#state.expire()
    await Promise.all(this.#endpoints.map(endpoint => endpoint.close()))
    await this.#server.close()
  }

  async #handle (request: StandInRequest): Promise<StandInResponse | null> {
    if (this.#isUnresponsive) return await new Promise<null>(() => {})
    const parts = request.path.split('/')
    if (request.method === 'GET') return request.path === '/usage' ? this.#usage(request) : this.#report()
    const message: unknown = JSON.parse(request.body.toString('utf8'))
    if (request.path === '/lease') return this.#lease(message as WorkerLeaseRequest)
    if (request.path === '/tasks') return await this.#start(message as WorkerStart)
    return this.#change(parts.at(-1) ?? '', message as WorkerAttempt & { share?: number })
  }

  #lease (call: WorkerLeaseRequest): StandInResponse {
    const refusal = this.#state.lease(call)
    if (refusal !== undefined) return this.#refuse(refusal)
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => this.#state.expire(), call.ttlMs)
    return { status: 200, body: call }
  }

  async #start (start: WorkerStart): Promise<StandInResponse> {
    const entry = this.#state.start(start)
    if (typeof entry === 'string') return this.#refuse(entry)
    await this.#openEndpoint(entry)
    return { status: 200, body: reportEntry(entry) }
  }

  #change (verb: string, call: WorkerAttempt & { share?: number }): StandInResponse {
    if (verb === 'acknowledge') {
      const refusal = this.#state.acknowledge(call)
      return refusal === undefined ? { status: 200, body: Buffer.from('null') } : this.#refuse(refusal)
    }
    const entry = this.#apply(verb, call)
    return typeof entry === 'string' ? this.#refuse(entry) : { status: 200, body: reportEntry(entry) }
  }

  #apply (verb: string, call: WorkerAttempt & { share?: number }): WorkerEntry | WorkerRefusal {
    if (verb === 'checkpoint') return this.#state.checkpoint(call, entry => String(this.#progressMs(entry)))
    if (verb === 'throttle') return this.#state.throttle(call, call.share ?? 1)
    return this.#state.stop(call)
  }

  #report (): StandInResponse {
    return { status: 200, body: { session: this.#state.session, epoch: this.#state.epoch, tasks: this.#state.entries.map(reportEntry) } }
  }

  #usage (request: StandInRequest): StandInResponse {
    const since = Number(request.query.get('since') ?? 0)
    const tasks = this.#state.entries.filter(entry => entry.state === 'running').map(({ start }) => ({
      id: start.id, attempt: start.attempt, processors: start.resources.processors, memoryMb: start.resources.memoryMb
    }))
    this.#samples.push({ measuredAt: Date.now(), tasks })
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift()
    return { status: 200, body: { samples: this.#samples.filter(sample => sample.measuredAt > since) } }
  }

  #refuse (reason: WorkerRefusal): StandInResponse {
    return { status: 409, body: { reason, session: this.#state.session, epoch: this.#state.epoch } }
  }

  #run (entry: WorkerEntry): void {
    const command = parseCommand(entry.start.command)
    const progressMs = Number(entry.start.checkpoint ?? 0)
    const running: RunningTask = { startedAt: Date.now(), progressMs }
    this.#running.set(entry, running)
    if (command.kind === 'work') running.timer = setTimeout(() => this.#state.finish(entry, 'finished', `worked ${command.durationMs} ms`), command.durationMs - progressMs)
    if (command.kind === 'fail') running.timer = setTimeout(() => this.#state.finish(entry, 'failed', 'told to fail'), command.durationMs)
    if (command.kind === 'serve') running.endpoint = new StandInEndpoint(command.serviceMs)
  }

  async #openEndpoint (entry: WorkerEntry): Promise<void> {
    const endpoint = this.#running.get(entry)?.endpoint
    if (endpoint === undefined || entry.address !== undefined) return
    this.#endpoints.push(endpoint)
    entry.address = await endpoint.listen()
  }

  #halt (entry: WorkerEntry): void {
    const running = this.#running.get(entry)
    this.#running.delete(entry)
    clearTimeout(running?.timer)
    void running?.endpoint?.close()
  }

  #progressMs (entry: WorkerEntry): number {
    const running = this.#running.get(entry)
    return running === undefined ? 0 : running.progressMs + Date.now() - running.startedAt
  }
}
