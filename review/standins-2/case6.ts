/**
 * The machine with the wide link is lost; the others have narrow links and can't take the cell over.
 */
import type { FakeRunBehaviour, WorkerEvent } from '@auburnpin/fakes'
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import { Lab, sleep, stateOf, type Node } from './Lab.ts'
import { openNarrowLink } from './NarrowLink.ts'
import { TimedStore } from './TimedStore.mts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const hasTrouble = process.env.TROUBLE !== '0'
const WIDE_MBPS = 140
const NARROW_MBPS = 7
/** A little less than the sheet's 22.7. */
const SUBMISSIONS_PER_S = 22
const TRAFFIC_MS = 30_000
const OBSERVED_MS = 45_000
/** From 6 s after its last run, a task that lasts may have no run for 3 s. */
const MAX_WITHOUT_RUN_MS = 9_000
const WATCH = '5c0e7a21d94b36f8'
const WATCH_TASKS = 6

const lab = new Lab(recordPath)
const platform = new WirePlatform()
let lastWatchRunAt = 0

const behaviourOf = (task: string): FakeRunBehaviour => task.startsWith(WATCH) ? { runMs: 1e9, ending: 'done', startupMs: 200 } : { runMs: 200, ending: 'done' }

const watchRuns = (): number => platform.workers.reduce((sum, { worker }) => sum + worker.running.filter(task => task.startsWith(WATCH)).length, 0)

const main = async (): Promise<void> => {
  await platform.start(30, behaviourOf as never)
  platform.observe(({ kind, how, task, worker, attempt }: WorkerEvent) => lab.record(`${worker}: ${task} run ${attempt} ${kind} ${how}`))
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    platform.publishEntry(worker)
  }
  const store = new TimedStore(platform.rows)
  const address = await store.listen()
  const wide = await lab.startNode('edge-colombo-1', await openNarrowLink(address, WIDE_MBPS), { cpuShare: 0.675, cores: 2, linkMbps: WIDE_MBPS })
  await lab.ready()
  const narrow = [await lab.startNode('edge-colombo-2', await openNarrowLink(address, NARROW_MBPS), { cpuShare: 0.324, cores: 1, linkMbps: NARROW_MBPS }), await lab.startNode('edge-negombo-1', await openNarrowLink(address, NARROW_MBPS), { cpuShare: 0.324, cores: 1, linkMbps: NARROW_MBPS })]
  await lab.ready()
  await sleep(1_000)
  const answer = await lab.call(wide, 'POST', `/drafts/${WATCH}`, { spec: 'watch', steps: [{ count: WATCH_TASKS, cpu: 500, mem_mb: 100, estimate_ms: 400, long_running: true }] })
  if (answer?.status !== 200) process.exit(2)
  const startedAt = lab.now
  const calls: Promise<unknown>[] = []
  let sent = 0
  while (lab.now - startedAt < TRAFFIC_MS) {
    const isOrder = sent % 2 === 0
    const id = `5c0e7a21${sent.toString(16).padStart(7, '0')}${(sent % 16).toString(16)}`
    const step = { count: isOrder ? 20 : 10, cpu: 100, mem_mb: 20, estimate_ms: 200 }
    calls.push(lab.call([wide, ...narrow][sent % 3] as Node, 'POST', `/drafts/${id}`, { spec: 's'.repeat(isOrder ? 600 : 75), steps: [step, { ...step, after: [0] }] }))
    sent++
    await sleep(Math.max(0, startedAt + sent * 1_000 / SUBMISSIONS_PER_S - lab.now))
  }
  await Promise.all(calls)
  await sleep(2_000)
  const bytes = platform.rows.list({ table: 'jobs', part: 'jobs-1', from: '', to: '' }).rows.reduce((sum, { value }) => sum + Math.ceil(value.length * 4 / 3), 0)
  lab.record(`${watchRuns()} of ${WATCH_TASKS} tasks of the watch run; ${sent} submissions sent; part jobs-1 has ${bytes} bytes in base64`)
  if (hasTrouble) {
    lab.record(`${wide.name} is lost for good (SIGKILL)`)
    wide.signal('SIGKILL')
  }
  const endsAt = lab.now + OBSERVED_MS
  const late = '5c0e7a21ffffffff'
  await sleep(5_000)
  const lateAnswer = await lab.call(narrow[0] as Node, 'POST', `/drafts/${late}`, { spec: 'late', steps: [{ count: 1, cpu: 100, mem_mb: 20, estimate_ms: 200 }] })
  lastWatchRunAt = lab.now
  while (lab.now < endsAt) {
    if (watchRuns() > 0) lastWatchRunAt = lab.now
    await sleep(100)
  }
  const withoutRunMs = lab.now - lastWatchRunAt
  const state = stateOf(await lab.call(narrow[0] as Node, 'GET', `/drafts/${late}`))
  lab.record(`${watchRuns()} of ${WATCH_TASKS} tasks of the watch run, none for ${Math.round(withoutRunMs)} ms; a submission that was answered ${lateAnswer?.status ?? 0} after the loss is ${state}`)
  for (const { name, output } of lab.nodes) for (const line of output.split('\n')) if (/Term |jobs at the start|verload/.test(line)) lab.record(`log of ${name}: ${line}`)
  const isBroken = withoutRunMs > MAX_WITHOUT_RUN_MS
  console.log(isBroken ? `LOST: no task of the watch runs for ${Math.round(withoutRunMs)} ms; late submission ${state}` : `held: ${watchRuns()} tasks run; late submission ${state}`)
  process.exit(isBroken ? 1 : 0)
}

void main()
