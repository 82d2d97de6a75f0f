/**
 * Runs the demo in one process: applies a release note, sends requests, runs jobs and drains a busy VM.
 */
import type { Task } from '@auburnpin/core'
import type { OperatorClient } from '../OperatorClient.ts'
import { countFinishedOnce, countOvercommittedVms, countRepeatedRequests, countStoppedAttempts, OverlapDetector } from './checkRegion.ts'
import { JOB_DURATION_MS, JOB_COUNT, FINAL_CONFIG_VERSION, POLL_INTERVAL_MS, WAIT_TIMEOUT_MS, REQUEST_COUNT } from './constants.ts'
import type { DemoExample } from './DemoExample.ts'
import { drainNote, declarationNote, replicaCountOf } from './demoNotes.ts'
import { DemoRegion } from './DemoRegion.ts'
import { sendRequests, type RequestSummary } from './sendRequests.ts'

/** Result of the demo. */
export type DemoSummary = Readonly<{
  requestsAnswered: number
  requestsLost: number
  p50Ms: number
  p99Ms: number
  tasksFinished: number
  evictions: number
  configVersion: number
  /** Found by the members' own checks and in the stand-ins' records. */
  invariantsBroken: number
  isHeld: boolean
}>

/** Prints one line of progress. */
export type ProgressPrinter = (line: string) => void

/** Runs one example once and stops everything that it started. */
export const runDemo = async (example: DemoExample, printProgress: ProgressPrinter): Promise<DemoSummary> => {
  const region = await DemoRegion.start(example)
  printProgress(`${region.members.length} members and ${region.standIns.workers.size} stand-in workers of ${example.region} started`)
  const overlapDetector = new OverlapDetector(region.standIns)
  overlapDetector.start()
  try {
    return await runScenario(region, example, overlapDetector, printProgress)
  } finally {
    overlapDetector.stop()
    await region.stop()
  }
}

const runScenario = async (region: DemoRegion, example: DemoExample, overlapDetector: OverlapDetector, printProgress: ProgressPrinter): Promise<DemoSummary> => {
  const { operator } = region
  await applyNote(region, declarationNote(example), printProgress)
  await until(async () => await countEndpoints(operator) === replicaCountOf(example))
  printProgress(`${replicaCountOf(example)} endpoints of ${example.service} are ready`)
  const jobs = await submitJobs(operator, example)
  printProgress(`${jobs.length} batch jobs submitted`)
  const tasks = [...jobs, ...example.longTasks]
  const [requestSummary] = await Promise.all([sendRequests(example.service, region.callerAddresses), drainBusyVm(region, example, printProgress)])
  printProgress(`${requestSummary.answered} of ${REQUEST_COUNT} requests answered, p50 ${requestSummary.p50Ms} ms, p99 ${requestSummary.p99Ms} ms`)
  await until(async () => await countFinished(operator, tasks) === tasks.length)
  return await summarise(region, tasks, requestSummary, overlapDetector, printProgress)
}

const applyNote = async (region: DemoRegion, note: object, printProgress: ProgressPrinter): Promise<void> => {
  const applied = await region.operator.call<{ version: number }>('POST', '/v1/notes', note)
  if (applied.err) return printProgress(`Release note refused: ${applied.val.message}`)
  const { version } = applied.val
  await until(() => region.configVersion >= version)
  printProgress(`Release note accepted as version ${version}, in force at all ${region.members.length} members`)
}

const submitJobs = async (operator: OperatorClient, example: DemoExample): Promise<string[]> => {
  const jobs: string[] = []
  for (let index = 0; index < JOB_COUNT; index++) {
    const job = { team: example.batchTeam, resources: { processors: 2, memoryMb: 2_000 }, command: `work ${JOB_DURATION_MS}` }
    const submitted = await operator.call<{ id: string }>('POST', '/v1/jobs', job, { 'idempotency-key': `${example.job}-${index}` })
    if (submitted.ok) jobs.push(submitted.val.id)
  }
  return jobs
}

const drainBusyVm = async (region: DemoRegion, example: DemoExample, printProgress: ProgressPrinter): Promise<void> => {
  const [task = ''] = example.longTasks
  let vm = ''
  await until(async () => {
    const response = await region.operator.call<Task>('GET', `/v1/jobs/${task}`)
    if (response.ok && response.val.state === 'running') vm = response.val.placement?.vm ?? ''
    return vm !== ''
  })
  printProgress(`Draining ${vm} while ${task} runs on it`)
  await applyNote(region, drainNote(vm), printProgress)
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

const summarise = async (region: DemoRegion, tasks: readonly string[], requestSummary: RequestSummary, overlapDetector: OverlapDetector, printProgress: ProgressPrinter): Promise<DemoSummary> => {
  const { standIns, configVersion } = region
  const reportedFinished = await countFinished(region.operator, tasks)
  const tasksFinished = Math.min(reportedFinished, countFinishedOnce(standIns, tasks))
  const evictions = countStoppedAttempts(standIns, tasks)
  const brokenAtMembers = region.members.reduce((sum, member) => sum + member.invariants.total, 0)
  const invariantsBroken = brokenAtMembers + overlapDetector.stop() + countOvercommittedVms(standIns) + countRepeatedRequests(standIns)
  const isWorkDone = requestSummary.answered === REQUEST_COUNT && tasksFinished === tasks.length && evictions > 0
  printProgress(`${tasksFinished} of ${tasks.length} tasks finished exactly once, ${evictions} evicted and resumed; configuration version ${configVersion}; invariants broken: ${invariantsBroken}`)
  return {
    requestsAnswered: requestSummary.answered,
    requestsLost: REQUEST_COUNT - requestSummary.answered,
    p50Ms: requestSummary.p50Ms,
    p99Ms: requestSummary.p99Ms,
    tasksFinished,
    evictions,
    configVersion,
    invariantsBroken,
    isHeld: isWorkDone && configVersion === FINAL_CONFIG_VERSION && invariantsBroken === 0
  }
}

// Returns after the timeout as well; the summary then shows what did not happen.
const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + WAIT_TIMEOUT_MS
  while (!(await condition())) {
    if (performance.now() > deadline) return
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
