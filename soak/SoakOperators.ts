/**
 * Simulated operators: they submit and cancel jobs and apply notes through any member, and retry until they get a
 * response.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { ACTIONS, type Action, type ActionResponse, type ActionRequest } from '@auburnpin/gateway'
import type { SoakRegion } from './SoakRegion.ts'

/** An accepted job, and whether an operator has cancelled it. */
export type AcceptedJob = Readonly<{ id: string, isCancelled: boolean }>

const RESPONSE_TIMEOUT_MS = 15_000
const RETRY_MS = 2_000
const MAX_ATTEMPTS = 200

type Submission = Readonly<{ processors: number, seconds: number, isUrgent: boolean }>

/** Sends operators' requests and records the jobs and notes that were reported as accepted. */
export class SoakOperators {
  readonly #region: SoakRegion
  readonly #jobs = new Map<string, AcceptedJob>()
  readonly #notes = new Map<string, number>()
  #next = 0
  #pendingRequests = 0
  #hasReducedRetries = false

  constructor (region: SoakRegion) {
    this.#region = region
  }

  get jobs (): ReadonlyMap<string, AcceptedJob> {
    return this.#jobs
  }

  /** Accepted notes and their versions. */
  get notes (): ReadonlyMap<string, number> {
    return this.#notes
  }

  /** Number of requests that still wait for a response. */
  get pendingRequests (): number {
    return this.#pendingRequests
  }

  /** Reduces the maximum number of attempts per request to a quarter. */
  reduceRetries (): void {
    this.#hasReducedRetries = true
  }

  submit (submission: Submission): void {
    const key = `job-${this.#next++}`
    const body = {
      team: 'buyers', command: `work ${submission.seconds}`, isUrgent: submission.isUrgent, resources: { processors: submission.processors, memoryMb: 100 }
    }
    void this.#retryUntilResponse('submit-job', { id: '', headers: { 'idempotency-key': key }, body }, response => {
      const { id } = response.body as { id: string }
      this.#jobs.set(id, { id, isCancelled: false })
    })
  }

  cancel (count: number): void {
    let left = count
    for (const job of this.#jobs.values()) {
      if (left-- <= 0) return
      if (job.isCancelled) continue
      this.#jobs.set(job.id, { ...job, isCancelled: true })
      void this.#retryUntilResponse('cancel-job', { id: job.id, headers: {}, body: undefined }, () => {})
    }
  }

  /** Applies notes concurrently, over few names so that they conflict; a conflict is a final response. */
  applyNotes (count: number, names: number): void {
    for (let note = 0; note < count; note++) {
      const id = `note-${this.#next++}`
      const name = `limit-${note % names}`
      const version = this.#next
      const action = this.#notes.size === 0 || !this.#knownLimits.has(name) ? 'added' : 'changed'
      void this.#retryUntilResponse('apply-note', { id: '', headers: {}, body: { id, [action]: { limits: { [name]: { value: version } } } } }, response => {
        this.#notes.set(id, (response.body as { version: number }).version)
        this.#knownLimits.add(name)
      })
    }
  }

  /** Applies the first note, which declares a team, a service and a watch. */
  applyFirstNote (): void {
    void this.#retryUntilResponse('apply-note', {
      id: '',
      headers: {},
      body: {
        id: 'first',
        added: {
          teams: { buyers: { quota: { processors: 300, memoryMb: 1_000_000 } } },
          services: { stockline: { replicas: 6, resources: { processors: 2, memoryMb: 100 }, command: 'serve', team: 'buyers' } },
          tasks: { 'cream-watch': { kind: 'watch', team: 'buyers', resources: { processors: 1, memoryMb: 100 }, command: 'watch' } }
        }
      }
    }, response => this.#notes.set('first', (response.body as { version: number }).version))
  }

  readonly #knownLimits = new Set<string>()

  async #retryUntilResponse (name: string, request: Pick<ActionRequest, 'id' | 'headers' | 'body'>, onDone: (response: ActionResponse) => void): Promise<void> {
    this.#pendingRequests++
    const action = ACTIONS.find(candidate => candidate.name === name) as Action
    for (let attempts = 0; attempts < MAX_ATTEMPTS && !(this.#hasReducedRetries && attempts > MAX_ATTEMPTS / 4); attempts++) {
      const response = await this.#call(action, request)
      if (response?.ok === true) {
        onDone(response.val)
        break
      }
      const kind = response?.val.kind
      if (kind === 'conflict' || (kind === 'invalid-request' && name === 'apply-note')) break
      await this.#region.clock.sleep(RETRY_MS)
    }
    this.#pendingRequests--
  }

  async #call (action: Action, request: Pick<ActionRequest, 'id' | 'headers' | 'body'>): Promise<Result<ActionResponse, AuburnpinError> | undefined> {
    const member = this.#region.liveMember(this.#region.random.below(99))
    if (member === undefined) return undefined
    const full: ActionRequest = { operator: 'soak', query: new URLSearchParams(), ...request }
    return await Promise.race([action.run(member.ports, full), this.#region.clock.sleep(RESPONSE_TIMEOUT_MS).then(() => undefined)])
  }
}
