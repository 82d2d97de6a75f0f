/**
 * Runs a region of stand-ins, three members, callers and jobs in one process, and sums up what happened.
 */
import { request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'
import { SilentLog } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { splitAddress } from '@auburnpin/platform'
import { StandInRegion } from '@auburnpin/stand-in'
import { Member, type MemberAddresses } from '../Member.ts'
import { OperatorClient } from '../OperatorClient.ts'
import { settingsSchema } from '../settings/settingsSchema.ts'

/** What the demo saw. */
export type DemoSummary = Readonly<{
  requestsAnswered: number
  requestsLost: number
  p50Ms: number
  p99Ms: number
  tasksFinished: number
  evictions: number
  configVersion: number
  invariantsBroken: number
  isHeld: boolean
}>

/** Prints a line of progress. */
export type Narrator = (line: string) => void

const DATA_CENTRES = ['colombo', 'negombo', 'kalutara']
const WORKERS = 9
const REPLICAS = 9
const REQUESTS = 600
const JOBS = 30
const OPERATOR_TOKEN = 'demo-operator-token'
const PATIENCE_MS = 20_000
const LOOK_MS = 100
const CALLERS = 16
const LONGEST_RECORDED_MS = 60_000

type Running = Readonly<{ region: StandInRegion, members: readonly Member[], addresses: readonly MemberAddresses[], operator: OperatorClient }>

/** Runs the whole path once. */
export const runDemo = async (narrate: Narrator): Promise<DemoSummary> => {
  const running = await startAll(narrate)
  try {
    return await demonstrate(running, narrate)
  } finally {
    running.operator.close()
    await Promise.all(running.members.map(member => member.stop()))
    await running.region.stop()
  }
}

const startAll = async (narrate: Narrator): Promise<Running> => {
  const region = new StandInRegion({ dataCentres: DATA_CENTRES, workers: WORKERS, workersPerRack: 3, room: { processors: 32, memoryMb: 125_000, accelerators: 0 } })
  const platform = await region.start()
  narrate(`Stand-in platform with ${WORKERS} workers at ${platform}`)
  const members: Member[] = []
  const addresses: MemberAddresses[] = []
  for (const [index, dataCentre] of DATA_CENTRES.entries()) {
    const member = new Member(settingsFor(`entry-${index + 1}`, dataCentre, platform), new SilentLog())
    members.push(member)
    addresses.push(await member.start())
  }
  narrate(`${members.length} members started, callers at ${addresses.map(address => address.callers).join(', ')}`)
  const operator = new OperatorClient(addresses[0]?.operators ?? '', OPERATOR_TOKEN)
  return { region, members, addresses, operator }
}

const settingsFor = (member: string, dataCentre: string, platform: string) => settingsSchema.parse({
  member,
  region: { name: 'lk-west', dataCentres: DATA_CENTRES },
  dataCentre,
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'demo', secret: 'demo-peer-secret-0' }],
  operators: [{ operator: 'demo', token: OPERATOR_TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})

const demonstrate = async (running: Running, narrate: Narrator): Promise<DemoSummary> => {
  const { members, operator } = running
  const applied = await operator.call<{ version: number }>('POST', '/v1/notes', demoNote())
  narrate(applied.ok ? `Release note accepted as version ${applied.val.version}` : `Release note refused: ${applied.val.message}`)
  await until(() => members.every(member => member.configuration.current.version === 1))
  narrate('Configuration in force at all members')
  await until(async () => await countEndpoints(operator) === REPLICAS)
  narrate(`${REPLICAS} endpoints of stockline are ready`)
  const jobs = await submitJobs(operator)
  narrate(`${jobs.length} batch jobs submitted`)
  const durations = build({ highestTrackableValue: LONGEST_RECORDED_MS })
  const answered = await sendRequests(running, durations)
  narrate(`${answered} of ${REQUESTS} requests answered, p50 ${durations.getValueAtPercentile(50)} ms, p99 ${durations.getValueAtPercentile(99)} ms`)
  await until(async () => (await finishedJobs(operator, jobs)) === jobs.length)
  return await sumUp(running, jobs, answered, durations, narrate)
}

const demoNote = (): object => ({
  id: 'demo-1',
  added: {
    teams: { franchise: { quota: { processors: 200, memoryMb: 800_000 } }, buyers: { quota: { processors: 100, memoryMb: 400_000 } } },
    services: { stockline: { replicas: REPLICAS, resources: { processors: 4, memoryMb: 8_000 }, command: 'serve 5', team: 'franchise' } },
    tasks: { 'cream-watch': { kind: 'watch', team: 'franchise', resources: { processors: 1, memoryMb: 1_000 }, command: 'watch' } }
  }
})

const submitJobs = async (operator: OperatorClient): Promise<string[]> => {
  const jobs: string[] = []
  for (let index = 0; index < JOBS; index++) {
    const job = { team: 'buyers', resources: { processors: 2, memoryMb: 2_000 }, command: 'work 300' }
    const submitted = await operator.call<{ id: string }>('POST', '/v1/jobs', job, { 'idempotency-key': `order-${index}` })
    if (submitted.ok) jobs.push(submitted.val.id)
  }
  return jobs
}

const sendRequests = async (running: Running, durations: Histogram): Promise<number> => {
  let next = 0
  let answered = 0
  const runCaller = async (): Promise<void> => {
    while (next < REQUESTS) {
      const index = next++
      const address = running.addresses[index % running.addresses.length]?.callers ?? ''
      const startedAt = performance.now()
      if (await sendOne(address, `/stockline/items/${index}`)) answered++
      durations.recordValue(Math.round(performance.now() - startedAt))
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, runCaller))
  return answered
}

const sendOne = (address: string, path: string): Promise<boolean> => new Promise(resolve => {
  const [host, port] = splitAddress(address)
  const outgoing = request({ host, port, path }, incoming => {
    incoming.resume()
    incoming.on('end', () => resolve(incoming.statusCode === 200))
    incoming.on('error', () => resolve(false))
  })
  outgoing.on('error', () => resolve(false))
  outgoing.end()
})

const countEndpoints = async (operator: OperatorClient): Promise<number> => {
  const status = await operator.call<{ endpoints: readonly unknown[] }>('GET', '/v1/status')
  return status.ok ? status.val.endpoints.length : 0
}

const finishedJobs = async (operator: OperatorClient, jobs: readonly string[]): Promise<number> => {
  const listed = await operator.call<{ tasks: readonly Task[] }>('GET', '/v1/jobs')
  if (listed.err) return 0
  return listed.val.tasks.filter(task => jobs.includes(task.spec.id) && task.state === 'finished').length
}

const sumUp = async (running: Running, jobs: readonly string[], answered: number, durations: Histogram, narrate: Narrator): Promise<DemoSummary> => {
  const tasksFinished = await finishedJobs(running.operator, jobs)
  const listed = await running.operator.call<{ tasks: readonly Task[] }>('GET', '/v1/jobs')
  const evictions = listed.ok ? listed.val.tasks.reduce((sum, task) => sum + task.evictions, 0) : 0
  const invariantsBroken = running.members.reduce((sum, member) => sum + member.invariants.total, 0) + countBroken(running.region)
  const configVersion = Math.min(...running.members.map(member => member.configuration.current.version))
  const isHeld = answered === REQUESTS && tasksFinished === JOBS && configVersion === 1 && invariantsBroken === 0
  narrate(`Tasks finished: ${tasksFinished} of ${JOBS}; evictions: ${evictions}; configuration version in force: ${configVersion}; invariants broken: ${invariantsBroken}`)
  return {
    requestsAnswered: answered,
    requestsLost: REQUESTS - answered,
    p50Ms: durations.getValueAtPercentile(50),
    p99Ms: durations.getValueAtPercentile(99),
    tasksFinished,
    evictions,
    configVersion,
    invariantsBroken,
    isHeld
  }
}

// Counted by the workers themselves: a task that ran in two places, and an over-committed VM.
const countBroken = (region: StandInRegion): number => {
  let broken = 0
  const running = new Map<string, number>()
  for (const worker of region.workers.values()) {
    for (const event of worker.state.events) {
      if (event.kind === 'started') running.set(event.id, (running.get(event.id) ?? 0) + 1)
      else running.set(event.id, (running.get(event.id) ?? 0) - 1)
    }
    if (worker.state.mostCommitted.processors > worker.room.processors) broken++
  }
  for (const count of running.values()) {
    if (count > 1) broken++
  }
  return broken
}

const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + PATIENCE_MS
  while (!(await condition())) {
    if (performance.now() > deadline) return
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}
