/**
 * Shows the whole path in one process: a note in force, callers answered, jobs finished, a VM drained under work.
 */
import type { Task } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import { countFinishedOnce, countOvercommitted, countRepeated, countStopped, OverlapWatch } from './checkRegion.ts'
import { JOB_MS, JOBS, LAST_VERSION, LOOK_MS, PATIENCE_MS, REQUESTS } from './constants.ts'
import type { DemoExample } from './DemoExample.ts'
import { drainNote, firstNote, replicasOf } from './demoNotes.ts'
import { DemoRegion } from './DemoRegion.ts'
import { sendRequests, type CallerFigures } from './sendRequests.ts'

/** What the demo saw. */
export type DemoSummary = Readonly<{
  requestsAnswered: number
  requestsLost: number
  p50Ms: number
  p99Ms: number
  tasksFinished: number
  evictions: number
  configVersion: number
  /** By the members' own checks and by the stand-ins' counts. */
  invariantsBroken: number
  isHeld: boolean
}>

/** Prints a line of progress. */
export type Narrator = (line: string) => void

/** Runs one example once. */
export const runDemo = async (example: DemoExample, narrate: Narrator): Promise<DemoSummary> => {
  const region = await DemoRegion.start(example)
  narrate(`${region.members.length} members and ${region.standIns.workers.size} stand-in workers of ${example.region} started`)
  const overlaps = new OverlapWatch(region.standIns)
  overlaps.start()
  try {
    return await demonstrate(region, example, overlaps, narrate)
  } finally {
    overlaps.stop()
    await region.stop()
  }
}

const demonstrate = async (region: DemoRegion, example: DemoExample, overlaps: OverlapWatch, narrate: Narrator): Promise<DemoSummary> => {
  const { operator } = region
  await applyNote(region, firstNote(example), narrate)
  await until(async () => await countEndpoints(operator) === replicasOf(example))
  narrate(`${replicasOf(example)} endpoints of ${example.service} are ready`)
  const jobs = await submitJobs(operator, example)
  narrate(`${jobs.length} batch jobs submitted`)
  const tasks = [...jobs, ...example.longTasks]
  const [callers] = await Promise.all([sendRequests(example.service, region.callers), drainUnderWork(region, example, narrate)])
  narrate(`${callers.answered} of ${REQUESTS} requests answered, p50 ${callers.p50Ms} ms, p99 ${callers.p99Ms} ms`)
  await until(async () => await countFinished(operator, tasks) === tasks.length)
  return await sumUp(region, tasks, callers, overlaps, narrate)
}

const applyNote = async (region: DemoRegion, note: object, narrate: Narrator): Promise<void> => {
  const applied = await region.operator.call<{ version: number }>('POST', '/v1/notes', note)
  if (applied.err) return narrate(`Release note refused: ${applied.val.message}`)
  const { version } = applied.val
  await until(() => region.configVersion >= version)
  narrate(`Release note accepted as version ${version}, in force at all ${region.members.length} members`)
}

const submitJobs = async (operator: OperatorClient, example: DemoExample): Promise<string[]> => {
  const jobs: string[] = []
  for (let index = 0; index < JOBS; index++) {
    const job = { team: example.batchTeam, resources: { processors: 2, memoryMb: 2_000 }, command: `work ${JOB_MS}` }
    const submitted = await operator.call<{ id: string }>('POST', '/v1/jobs', job, { 'idempotency-key': `${example.job}-${index}` })
    if (submitted.ok) jobs.push(submitted.val.id)
  }
  return jobs
}

const drainUnderWork = async (region: DemoRegion, example: DemoExample, narrate: Narrator): Promise<void> => {
  const [task = ''] = example.longTasks
  let vm = ''
  await until(async () => {
    const shown = await region.operator.call<Task>('GET', `/v1/jobs/${task}`)
    if (shown.ok && shown.val.state === 'running') vm = shown.val.placement?.vm ?? ''
    return vm !== ''
  })
  narrate(`Draining ${vm} while ${task} runs on it`)
  await applyNote(region, drainNote(vm), narrate)
}

const countEndpoints = async (operator: OperatorClient): Promise<number> => {
  const status = await operator.call<{ endpoints: readonly unknown[] }>('GET', '/v1/status')
  return status.ok ? status.val.endpoints.length : 0
}

const listTasks = async (operator: OperatorClient, ids: readonly string[]): Promise<Task[]> => {
  const listed = await operator.call<{ tasks: readonly Task[] }>('GET', '/v1/jobs')
  return listed.ok ? listed.val.tasks.filter(task => ids.includes(task.spec.id)) : []
}

const countFinished = async (operator: OperatorClient, ids: readonly string[]): Promise<number> =>
  (await listTasks(operator, ids)).filter(task => task.state === 'finished').length

const sumUp = async (region: DemoRegion, tasks: readonly string[], callers: CallerFigures, overlaps: OverlapWatch, narrate: Narrator): Promise<DemoSummary> => {
  const { standIns, configVersion } = region
  const known = await countFinished(region.operator, tasks)
  const tasksFinished = Math.min(known, countFinishedOnce(standIns, tasks))
  const evictions = countStopped(standIns, tasks)
  const ownChecks = region.members.reduce((sum, member) => sum + member.invariants.total, 0)
  const invariantsBroken = ownChecks + overlaps.stop() + countOvercommitted(standIns) + countRepeated(standIns)
  const isWorkDone = callers.answered === REQUESTS && tasksFinished === tasks.length && evictions > 0
  narrate(`${tasksFinished} of ${tasks.length} tasks finished exactly once, ${evictions} evicted and resumed; configuration version ${configVersion}; invariants broken: ${invariantsBroken}`)
  return {
    requestsAnswered: callers.answered,
    requestsLost: REQUESTS - callers.answered,
    p50Ms: callers.p50Ms,
    p99Ms: callers.p99Ms,
    tasksFinished,
    evictions,
    configVersion,
    invariantsBroken,
    isHeld: isWorkDone && configVersion === LAST_VERSION && invariantsBroken === 0
  }
}

const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + PATIENCE_MS
  while (!(await condition())) {
    if (performance.now() > deadline) return
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}
