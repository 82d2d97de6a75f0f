/**
 * A fake of a worker and its VM: runs tasks under a lease session, and reports the latency of services that its batch tasks slow down.
 */
import { brand, type Attempt, type LeaseSession, type Random, type TaskId } from '@auburnpin/common'
import type { CellAction, ListedVm, ReportedTask, TaskReading, TaskSpec } from '@auburnpin/core'
import { CHECKPOINT_DURATION_MS, FAIL_AFTER_MS, RESUME_LOSS_MS } from './constants.ts'
import { programOf, type GroundTruth } from './GroundTruth.ts'
import { gaussian } from './gaussian.ts'

/** True behaviour of a task: its run time, the cores it uses per declared core, and whether it fails. */
export type TaskBehaviour = Readonly<{ runMs: number, usage: number, fails: boolean }>

type RunningTask = {
  readonly spec: TaskSpec
  readonly attempt: Attempt
  readonly behaviour: TaskBehaviour
  readonly resumedProgressMs: number
  progressMs: number
  elapsedMs: number
  share: number
  state: ReportedTask['state']
  stopsInMs?: number
}

type Start = Extract<CellAction, { kind: 'start' }>

/** Callbacks that receive what a VM does, for the measures. */
export type VmObserver = Readonly<{
  onWorkDone: (coreMs: number) => void
  onWorkLost: (coreMs: number) => void
  onLatencyRatio: (vm: FakeVm, service: string, ratio: number, load: number) => void
}>

/** A VM that advances in steps of the virtual clock. */
export class FakeVm {
  readonly listed: ListedVm
  readonly #groundTruth: GroundTruth
  readonly #random: Random
  readonly #observer: VmObserver
  /** Load of this VM's replicas relative to the service's load per replica: 0.85 to 1.15. */
  readonly #loadSkew: number
  readonly #tasks = new Map<TaskId, RunningTask>()
  #sessionNumber = 0

  isLost = false
  /** Whether every task that is started fails. */
  isFailing = false

  constructor (listed: ListedVm, groundTruth: GroundTruth, random: Random, observer: VmObserver) {
    this.listed = listed
    this.#groundTruth = groundTruth
    this.#random = random
    this.#observer = observer
    this.#loadSkew = 0.85 + 0.3 * random.fraction()
  }

  get session (): LeaseSession {
    return brand<LeaseSession>(`${this.listed.id}/${this.#sessionNumber}`)
  }

  get runningIds (): TaskId[] {
    return [...this.#tasks.values()].filter(task => task.state === 'running').map(task => task.spec.id)
  }

  /** Sum of the declared processors of all running tasks. */
  get committedProcessors (): number {
    let sum = 0
    for (const { spec, state } of this.#tasks.values()) if (state === 'running') sum += spec.resources.processors
    return sum
  }

  /** Loses the VM with all tasks on it; its lease session ends. */
  lose (): void {
    this.isLost = true
    this.#sessionNumber++
    for (const task of this.#tasks.values()) this.#observer.onWorkLost((task.progressMs - task.resumedProgressMs) * task.spec.resources.processors)
    this.#tasks.clear()
  }

  start ({ task, session }: Start, behaviour: TaskBehaviour): void {
    if (this.isLost || session !== this.session) return
    const existing = this.#tasks.get(task.spec.id)
    if (existing !== undefined && existing.attempt >= task.attempt) return
    const checkpointedMs = Number(task.checkpoint ?? 0)
    this.#tasks.set(task.spec.id, {
      spec: task.spec, attempt: task.attempt, behaviour, resumedProgressMs: checkpointedMs, progressMs: checkpointedMs, elapsedMs: 0, share: 1, state: 'running'
    })
  }

  /** Applies any other action of a cell. */
  applyAction (action: Exclude<CellAction, { kind: 'start' | 'publish-endpoints' }>): void {
    const task = this.#tasks.get(action.task)
    if (task === undefined || task.attempt !== action.attempt || action.session !== this.session) return
    if (action.kind === 'acknowledge') {
      if (task.state !== 'running') this.#tasks.delete(action.task)
    } else if (action.kind === 'throttle') {
      task.share = action.share
    } else {
      task.stopsInMs ??= action.isCheckpointed ? CHECKPOINT_DURATION_MS : 0
    }
  }

  reportTasks (): ReportedTask[] {
    const reported: ReportedTask[] = []
    for (const { spec, attempt, state, progressMs } of this.#tasks.values()) {
      const checkpoint = state === 'stopped' ? String(progressMs) : undefined
      const result = state === 'failed' ? 'exit code 1' : 'done'
      reported.push({ id: spec.id, attempt, state, checkpoint, result, address: spec.service === undefined ? undefined : this.listed.address })
    }
    return reported
  }

  /** Takes one usage sample. */
  measureUsage (nowMs: number, noise: number): TaskReading[] {
    const readings: TaskReading[] = []
    for (const task of this.#tasks.values()) {
      if (task.state !== 'running') continue
      const { spec, attempt } = task
      const processors = this.#coresInUse(task, nowMs)
      const isReplica = spec.service !== undefined
      const latencyP99Ms = isReplica ? this.#latencyRatioOf(task, nowMs) * this.#objectiveMsOf(spec) * Math.exp(noise * gaussian(this.#random)) : undefined
      readings.push({ id: spec.id, attempt, processors, memoryMb: spec.resources.memoryMb, latencyP99Ms })
    }
    return readings
  }

  /** Advances all running tasks by `stepMs`. */
  advance (nowMs: number, stepMs: number): void {
    for (const task of this.#tasks.values()) {
      if (task.state === 'running') this.#advanceTask(task, stepMs)
    }
  }

  /** Reports the latency ratio of each running replica to the observer. */
  reportLatency (nowMs: number): void {
    for (const task of this.#tasks.values()) {
      if (task.state !== 'running' || task.spec.service === undefined) continue
      this.#observer.onLatencyRatio(this, task.spec.service, this.#latencyRatioOf(task, nowMs), this.#loadOf(task.spec, nowMs))
    }
  }

  #advanceTask (task: RunningTask, stepMs: number): void {
    task.elapsedMs += stepMs
    const cores = task.spec.resources.processors
    if (task.stopsInMs !== undefined) {
      task.stopsInMs -= stepMs
      if (task.stopsInMs <= 0) this.#stop(task)
      return
    }
    if ((this.isFailing || task.behaviour.fails) && task.elapsedMs >= FAIL_AFTER_MS) {
      task.state = 'failed'
      return
    }
    if (task.spec.kind !== 'batch') return
    // The worker caps a task at its declared cores, so a task that needs more takes longer.
    const doneMs = stepMs * Math.min(1, task.share / Math.min(1, task.behaviour.usage)) / Math.max(1, task.behaviour.usage)
    task.progressMs += doneMs
    this.#observer.onWorkDone(doneMs * cores * Math.min(1, task.behaviour.usage))
    if (task.progressMs >= task.behaviour.runMs) task.state = 'finished'
  }

  #stop (task: RunningTask): void {
    const checkpointedMs = Math.max(task.resumedProgressMs, task.progressMs - RESUME_LOSS_MS)
    this.#observer.onWorkLost((task.progressMs - checkpointedMs) * task.spec.resources.processors)
    task.progressMs = checkpointedMs
    task.state = 'stopped'
  }

  #coresInUse ({ spec, behaviour, share }: RunningTask, nowMs: number): number {
    if (spec.service !== undefined) return spec.resources.processors * this.#loadOf(spec, nowMs)
    return spec.resources.processors * Math.min(1, behaviour.usage, share)
  }

  #loadOf (spec: TaskSpec, nowMs: number): number {
    return this.#loadSkew * this.#groundTruth.loadAt(spec.service as string, nowMs)
  }

  #latencyRatioOf ({ spec }: RunningTask, nowMs: number): number {
    const service = spec.service as NonNullable<TaskSpec['service']>
    const load = this.#loadOf(spec, nowMs)
    let slowdown = 1
    for (const other of this.#tasks.values()) {
      if (other.spec.service !== undefined || other.state !== 'running') continue
      slowdown += this.#coresInUse(other, nowMs) * this.#groundTruth.slowdownPerCore(service, programOf(other.spec.command), load)
    }
    return this.#groundTruth.baseRatio(service, load) * slowdown
  }

  #objectiveMsOf (spec: TaskSpec): number {
    return this.#groundTruth.objectiveMsOf(spec.service as string)
  }
}
