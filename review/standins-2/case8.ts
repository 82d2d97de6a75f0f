/**
 * A long-running submission has one task on each minion. One minion goes down and up by turns for some seconds.
 */
import type { WorkerEvent } from '@auburnpin/fakes'
import { WirePlatform } from '../../platform/standIn/WirePlatform.ts'
import { Lab, sleep, stateOf, type Node } from './Lab.ts'

const [recordPath = 'record.txt'] = process.argv.slice(2)
const MINIONS = 30
const FLAP_PERIOD_MS = 840
const FLAP_MS = 5_200
/** Time after the last start of the minion in which the submission may recover. */
const CALM_MS = 12_000
const ID = '5c0e7a21d94b36f8'

const lab = new Lab(recordPath)
const platform = new WirePlatform()
let failedRuns = 0

const flap = async (): Promise<void> => {
  const [minion] = platform.workers
  if (minion === undefined) return
  const endsAt = lab.now + FLAP_MS
  while (lab.now < endsAt) {
    lab.record(`${minion.worker.id} goes down`)
    minion.worker.crash()
    await sleep(FLAP_PERIOD_MS / 2)
    minion.worker.restart()
    platform.publishEntry(minion)
    lab.record(`${minion.worker.id} is up again`)
    await sleep(FLAP_PERIOD_MS / 2)
  }
}

const main = async (): Promise<void> => {
  await platform.start(MINIONS, { runMs: 1e9, ending: 'done', startupMs: 200 })
  platform.observe((event: WorkerEvent) => {
    if (event.kind === 'ended' && event.how === 'failed') failedRuns++
    lab.record(`${event.worker}: ${event.task} run ${event.attempt} ${event.kind} ${event.how}`)
  })
  for (const [index, worker] of platform.workers.entries()) {
    worker.worker.rack = `r${1 + Math.floor(index / 6)}`
    platform.publishEntry(worker)
  }
  for (const index of [1, 2]) await lab.startNode(`edge-derby-${index}`, platform.storeAddress)
  await lab.ready()
  await sleep(2_000)
  const [node] = lab.nodes as [Node]
  const answer = await lab.call(node, 'POST', `/drafts/${ID}`, { spec: 'watch', steps: [{ count: MINIONS, cpu: 2_000, mem_mb: 500, estimate_ms: 400, long_running: true, anti_affinity: 1 }] })
  if (answer?.status !== 200) process.exit(2)
  await lab.until('each minion runs a task', () => platform.workers.every(({ worker }) => worker.running.length === 1), 10_000)
  await sleep(4_000)
  if (process.env.TROUBLE === '0') await sleep(FLAP_MS)
  else await flap()
  await sleep(CALM_MS)
  const state = stateOf(await lab.call(node, 'GET', `/drafts/${ID}`))
  const running = platform.workers.reduce((sum, { worker }) => sum + worker.running.length, 0)
  lab.record(`state ${state}; ${running} of ${MINIONS} tasks run; ${failedRuns} runs have ended failed; nobody has cancelled the submission`)
  const isBroken = state === 'failed' && failedRuns === 0
  console.log(isBroken ? 'LOST: shown as failed without cause' : `held: ${state}, ${running} tasks run`)
  process.exit(isBroken ? 1 : state === 'active' && running === MINIONS ? 0 : 2)
}

void main()
