/**
 * Operators at work: they submit, cancel and apply through any member, and ask again until they get an answer.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import { ACTIONS, type Action, type ActionAnswer, type ActionRequest } from '@auburnpin/gateway'
import type { SoakRegion } from './SoakRegion.ts'

/** A job that was accepted, and how it was asked for. */
export type AcceptedJob = Readonly<{ id: string, isCancelled: boolean }>

const PATIENCE_MS = 15_000
const RETRY_MS = 2_000
const MAX_TRIES = 200

type Submission = Readonly<{ processors: number, seconds: number, isUrgent: boolean }>

/** Keeps account of what was told to be accepted. */
export class SoakOperators {
  readonly #region: SoakRegion
  readonly #jobs = new Map<string, AcceptedJob>()
  readonly #notes = new Map<string, number>()
  #next = 0
  #open = 0
  #isQuiet = false

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

  /** Requests that still wait for an answer. */
  get open (): number {
    return this.#open
  }

  /** From now on nothing that failed is asked again. */
  quieten (): void {
    this.#isQuiet = true
  }

  submit (submission: Submission): void {
    const key = `job-${this.#next++}`
    const body = {
      team: 'buyers', command: `work ${submission.seconds}`, isUrgent: submission.isUrgent, resources: { processors: submission.processors, memoryMb: 100 }
    }
    void this.#persist('submit-job', { id: '', headers: { 'idempotency-key': key }, body }, answer => {
      const { id } = answer.body as { id: string }
      this.#jobs.set(id, { id, isCancelled: false })
    })
  }

  cancel (count: number): void {
    let left = count
    for (const job of this.#jobs.values()) {
      if (left-- <= 0) return
      if (job.isCancelled) continue
      this.#jobs.set(job.id, { ...job, isCancelled: true })
      void this.#persist('cancel-job', { id: job.id, headers: {}, body: undefined }, () => {})
    }
  }

  /** Several notes at once over few names; conflicts are final answers. */
  applyNotes (count: number, names: number): void {
    for (let note = 0; note < count; note++) {
      const id = `note-${this.#next++}`
      const name = `limit-${note % names}`
      const version = this.#next
      const action = this.#notes.size === 0 || !this.#knownLimits.has(name) ? 'added' : 'changed'
      void this.#persist('apply-note', { id: '', headers: {}, body: { id, [action]: { limits: { [name]: { value: version } } } } }, answer => {
        this.#notes.set(id, (answer.body as { version: number }).version)
        this.#knownLimits.add(name)
      })
    }
  }

  /** The first note: teams, a service and a watch. */
  declare (): void {
    void this.#persist('apply-note', {
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
    }, answer => this.#notes.set('first', (answer.body as { version: number }).version))
  }

  readonly #knownLimits = new Set<string>()

  async #persist (name: string, request: Pick<ActionRequest, 'id' | 'headers' | 'body'>, onDone: (answer: ActionAnswer) => void): Promise<void> {
    this.#open++
    const action = ACTIONS.find(candidate => candidate.name === name) as Action
    for (let tries = 0; tries < MAX_TRIES && !(this.#isQuiet && tries > MAX_TRIES / 4); tries++) {
      const answer = await this.#ask(action, request)
      if (answer?.ok === true) {
        onDone(answer.val)
        break
      }
      const kind = answer?.val.kind
      if (kind === 'conflict' || (kind === 'invalid-request' && name === 'apply-note')) break
      await this.#region.clock.sleep(RETRY_MS)
    }
    this.#open--
  }

  async #ask (action: Action, request: Pick<ActionRequest, 'id' | 'headers' | 'body'>): Promise<Result<ActionAnswer, AuburnpinError> | undefined> {
    const member = this.#region.liveMember(this.#region.random.below(99))
    if (member === undefined) return undefined
    const full: ActionRequest = { operator: 'soak', query: new URLSearchParams(), ...request }
    return await Promise.race([action.run(member.ports, full), this.#region.clock.sleep(PATIENCE_MS).then(() => undefined)])
  }
}
