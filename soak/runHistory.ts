/**
 * Runs one history: the steps, then a time without faults in which the region must converge, then the checks.
 */
import { assertNever, type TaskId } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { ACTIONS, type Action } from '@auburnpin/gateway'
import type { Violation } from './Observer.ts'
import { SoakOperators } from './SoakOperators.ts'
import { SoakRegion, type Mutant } from './SoakRegion.ts'
import type { SoakEvent, SoakStep } from './steps.ts'

/** Result of one history. */
export type HistoryReport = Readonly<{
  virtualSeconds: number
  faults: Readonly<Record<string, number>>
  jobsAccepted: number
  jobsFinished: number
  notesAccepted: number
  /** Number of tasks that workers stopped because their lease had expired. */
  tasksStoppedByExpiry: number
  violations: readonly Violation[]
}>

const START_SECONDS = 20
/** Time within which the region must converge once all faults have ended. */
const CONVERGENCE_SECONDS = 240
const POLL_SECONDS = 10

/** Runs the steps of one history in a new region. */
export const runHistory = async (seed: number, steps: readonly SoakStep[], mutant: Mutant = {}): Promise<HistoryReport> => {
  const region = new SoakRegion(seed, mutant)
  const operators = new SoakOperators(region)
  const faults: Record<string, number> = {}
  operators.applyFirstNote()
  await region.advance(START_SECONDS)
  for (const { afterSeconds, event } of steps) {
    await region.advance(afterSeconds)
    faults[event.kind] = (faults[event.kind] ?? 0) + 1
    applyEvent(region, operators, event)
  }
  region.heal()
  operators.reduceRetries()
  const tasks = await waitForConvergence(region, operators)
  region.observer.checkRecords(operators.notes)
  for (const member of region.members) {
    if (member.brokenInvariants > 0) region.observer.report('task-never-in-two-places', `${member.id} counted ${member.brokenInvariants} broken invariants`)
  }
  return {
    virtualSeconds: region.clock.now() / 1_000,
    faults,
    jobsAccepted: operators.jobs.size,
    jobsFinished: tasks.filter(task => task.state === 'finished').length,
    notesAccepted: operators.notes.size,
    tasksStoppedByExpiry: region.observer.tasksStoppedByExpiry,
    violations: region.observer.violations
  }
}

const applyEvent = (region: SoakRegion, operators: SoakOperators, event: SoakEvent): void => {
  switch (event.kind) {
    case 'submit':
      for (let index = 0; index < event.count; index++) operators.submit(event)
      return
    case 'cancel':
      operators.cancel(event.count)
      return
    case 'notes':
      operators.applyNotes(event.count, event.names)
      return
    case 'kill-member':
      region.member(event.member).kill()
      return
    case 'restart-member':
      region.restart(event.member)
      return
    case 'stop-member':
      stopMember(region, event.member)
      return
    case 'pause-member':
      pauseMember(region, event)
      return
    case 'store':
      region.setStore(event.fault)
      region.clock.after(event.seconds * 1_000, () => region.setStore('well'))
      return
    case 'cut-store':
      cutForSeconds(region, region.member(event.member).id, 'store', event.seconds)
      return
    case 'cut-members':
      cutForSeconds(region, region.member(event.member).id, region.member(event.other).id, event.seconds)
      return
    default:
      applyVmEvent(region, event)
  }
}

type VmEvent = Extract<SoakEvent, { vm: number }>

const applyVmEvent = (region: SoakRegion, event: VmEvent): void => {
  const vm = region.vms[event.vm % region.vms.length]
  if (vm === undefined) return
  switch (event.kind) {
    case 'kill-vm':
      // At least eight VMs must remain so that all work can finish.
      if (region.vms.length > 8) region.killVm(vm)
      return
    case 'drain-vm':
      if (region.vms.filter(other => other.state === 'live').length > 8) region.drainVm(vm)
      return
    case 'bad-worker':
      region.setFaulty(vm, true)
      region.clock.after(event.seconds * 1_000, () => region.setFaulty(vm, false))
      return
    case 'slow-worker':
      region.setSlow(vm, true)
      region.clock.after(event.seconds * 1_000, () => region.setSlow(vm, false))
      return
    case 'cut-worker':
      cutForSeconds(region, event.member === 'all' ? 'all' : region.member(event.member).id, vm.address, event.seconds)
      return
    default:
      assertNever(event, 'event')
  }
}

const cutForSeconds = (region: SoakRegion, one: string, other: string, seconds: number): void => {
  region.setCut(one, other, true)
  region.clock.after(seconds * 1_000, () => region.setCut(one, other, false))
}

const stopMember = (region: SoakRegion, index: number): void => {
  const member = region.member(index)
  if (!member.isTerminated && member.untilResumed === undefined) void member.stop()
}

const pauseMember = (region: SoakRegion, event: Extract<SoakEvent, { kind: 'pause-member' }>): void => {
  const member = region.member(event.member)
  if (member.isTerminated) return
  member.pause()
  region.clock.after(event.seconds * 1_000, () => member.resume())
}

// The region must converge without operators, since none is on duty at night.
const waitForConvergence = async (region: SoakRegion, operators: SoakOperators): Promise<readonly Task[]> => {
  let tasks: readonly Task[] = []
  let problem: string | undefined = 'not checked'
  for (let passed = 0; passed < CONVERGENCE_SECONDS && problem !== undefined; passed += POLL_SECONDS) {
    await region.advance(POLL_SECONDS)
    const listed = await listTasks(region)
    tasks = listed ?? []
    problem = listed === undefined ? 'a cell does not respond' : findConvergenceProblem(region, operators, tasks)
  }
  if (problem !== undefined) region.observer.report('converges', `${CONVERGENCE_SECONDS} s after the last fault: ${problem}`)
  return tasks
}

const listTasks = async (region: SoakRegion): Promise<readonly Task[] | undefined> => {
  const member = region.liveMember(0)
  const action = ACTIONS.find(candidate => candidate.name === 'list-jobs') as Action
  if (member === undefined) return undefined
  const pendingResponse = action.run(member.ports, { operator: 'soak', id: '', query: new URLSearchParams(), headers: {}, body: undefined })
  let listed: readonly Task[] | undefined
  void pendingResponse.then(response => {
    if (response.err) return
    const body = response.val.body as { tasks: readonly Task[], missing: readonly string[] }
    if (body.missing.length === 0) listed = body.tasks
  })
  await region.advance(1)
  return listed
}

const FINAL_STATES = new Set(['finished', 'failed', 'cancelled', 'unrunnable'])

const findConvergenceProblem = (region: SoakRegion, operators: SoakOperators, tasks: readonly Task[]): string | undefined => {
  if (operators.pendingRequests > 0) return `${operators.pendingRequests} operator requests have no response`
  const byId = new Map<TaskId, Task>(tasks.map(task => [task.spec.id, task]))
  for (const { id } of operators.jobs.values()) {
    const task = byId.get(id as TaskId)
    if (task === undefined) return `accepted job ${id} is not listed`
    if (!FINAL_STATES.has(task.state)) return `job ${id} is ${task.state}`
  }
  for (const task of tasks) {
    if (task.spec.kind !== 'batch' && task.state !== 'running' && task.state !== 'cancelled') return `${task.spec.id} is ${task.state}`
  }
  const versions = region.members.map(member => member.configVersion)
  const newest = Math.max(...operators.notes.values(), 0)
  return versions.every(version => version >= newest) ? undefined : `configuration versions in force: ${versions.join(', ')}`
}
