import { SeededRandom } from '@auburnpin/common'
import type { Job } from '@auburnpin/core'
import { stepOf, type FakeRunBehaviour } from '@auburnpin/fakes'
import test, { type ExecutionContext } from 'ava'
import { readFileSync } from 'node:fs'
import { WORKER_LEASE_MS } from '../src/constants.ts'
import { CrashingCluster, CRASHING_RUN } from './support/CrashingCluster.ts'
import { CrashStory } from './support/CrashStory.ts'

const LASTING_RUN: FakeRunBehaviour = { runMs: 1e9, ending: 'done', startupMs: 500 }
const STORE_FAULTS = ['refusing', 'silent', 'lost', 'late'] as const
/** Time until a job that crashed three workers must have failed, in milliseconds. */
const GIVE_UP_MS = 30_000

const startCluster = async (workerCount: number): Promise<CrashingCluster> => {
  const cluster = new CrashingCluster(workerCount)
  await cluster.start()
  return cluster
}

const assertKept = async (t: ExecutionContext, cluster: CrashingCluster, story: string): Promise<void> => {
  t.deepEqual(await cluster.findBreaches(), [], story)
  t.deepEqual(await cluster.findHarmlessUndone(), [], story)
}

test.serial('a task that crashes every worker that starts it is given up, and the work beside it is done', async t => {
  for (const crashAfterMs of [0, 10, 100, 400]) {
    const cluster = await startCluster(6)
    cluster.submitHarmless(6, 4, 2_000)
    const crashing = cluster.submitCrashing({}, { ...CRASHING_RUN, crashAfterMs })
    cluster.submitHarmless(6, 4, 2_000)
    t.true(await cluster.advanceToCrash(crashing, 3))
    await cluster.simulation.advance(GIVE_UP_MS)
    await assertKept(t, cluster, `crash ${crashAfterMs} ms after the start`)
  }
})

test.serial('a task that crashes workers that return at once, or after long, is given up', async t => {
  for (const returnAfterMs of [0, 300, 1_000, 8_000]) {
    const cluster = await startCluster(6)
    cluster.simulation.returnAfterMs = returnAfterMs
    cluster.submitHarmless(4, 4, 2_000)
    const crashing = cluster.submitCrashing()
    t.true(await cluster.advanceToCrash(crashing, 3))
    await cluster.simulation.advance(GIVE_UP_MS)
    await assertKept(t, cluster, `workers return after ${returnAfterMs} ms`)
  }
})

test.serial('a step with several tasks that crash workers is given up, and jobs that shared workers with it are done', async t => {
  for (const crashingCount of [2, 4, 8]) {
    const cluster = await startCluster(8)
    cluster.submitHarmless(8, 4, 1_500)
    const crashing = cluster.submit([stepOf({ taskCount: 8 })], ({ index }) => index < crashingCount ? CRASHING_RUN : { runMs: 1_500, ending: 'done' }, { isCrashing: true })
    t.true(await cluster.advanceToCrash(crashing, 3))
    await cluster.simulation.advance(2 * GIVE_UP_MS)
    await assertKept(t, cluster, `${crashingCount} crashing tasks`)
  }
})

test.serial('a long-running task that crashes workers is given up, and those beside it run on', async t => {
  for (const crashAfterMs of [10, 300]) {
    const cluster = await startCluster(6)
    cluster.submit([stepOf({ isLasting: true, taskCount: 6 })], () => LASTING_RUN)
    await cluster.simulation.advance(2_000)
    const crashing = cluster.submitCrashing({ isLasting: true }, { ...CRASHING_RUN, crashAfterMs })
    t.true(await cluster.advanceToCrash(crashing, 3))
    await cluster.simulation.advance(GIVE_UP_MS)
    await assertKept(t, cluster, `crash ${crashAfterMs} ms after the start`)
  }
})

test.serial('a task that crashes workers before they respond to its order, so that no report lists it, is given up', async t => {
  for (const returnAfterMs of [100, 3_000, 8_000]) {
    const cluster = await startCluster(6)
    cluster.simulation.returnAfterMs = returnAfterMs
    cluster.submitHarmless(4, 4, 2_000)
    const crashing = cluster.submitCrashing()
    cluster.simulation.unansweredStarts.add(`${crashing.id}.0.0.0`)
    t.true(await cluster.advanceToCrash(crashing, 3, 60_000))
    await cluster.simulation.advance(GIVE_UP_MS)
    await assertKept(t, cluster, `workers return after ${returnAfterMs} ms`)
  }
})

const DELAYS_MS = [0, 300, 1_000, 2_500, 4_500] as const

test.serial('a task that crashes workers is given up although the owner is killed between two of the crashes', async t => {
  for (const crashes of [1, 2, 3]) {
    for (const killedAfterMs of DELAYS_MS) {
      const cluster = await startCluster(6)
      const crashing = cluster.submitCrashing()
      t.true(await cluster.advanceToCrash(crashing, crashes))
      await cluster.simulation.advance(killedAfterMs)
      cluster.killOwner()
      await cluster.simulation.advance(2 * GIVE_UP_MS)
      await assertKept(t, cluster, `killed ${killedAfterMs} ms after crash ${crashes}`)
    }
  }
})

test.serial('a task that crashes workers is given up although the owner is killed after each crash', async t => {
  for (const killedAfterMs of DELAYS_MS) {
    const cluster = await startCluster(6)
    const crashing = cluster.submitCrashing()
    for (let crashes = 1; crashes <= 6; crashes++) {
      if (!await cluster.advanceToCrash(crashing, crashes, GIVE_UP_MS)) break
      await cluster.simulation.advance(killedAfterMs)
      cluster.killOwner()
    }
    await cluster.simulation.advance(GIVE_UP_MS)
    await assertKept(t, cluster, `killed ${killedAfterMs} ms after each crash`)
  }
})

test.serial('a task that crashes workers is given up although the owner is killed before each response to its order', async t => {
  const cluster = await startCluster(6)
  const crashing = cluster.submitCrashing()
  for (let starts = 1; starts <= 6; starts++) {
    if (await cluster.advanceToStart(crashing, GIVE_UP_MS) === undefined) break
    cluster.killOwner()
  }
  await cluster.simulation.advance(2 * GIVE_UP_MS)
  await assertKept(t, cluster, 'killed at each start')
})

test.serial('a task that crashes workers is given up although the owner is paused after each crash', async t => {
  for (const pausedAfterMs of DELAYS_MS) {
    for (const pauseMs of [800, 6_000]) {
      const cluster = await startCluster(6)
      const crashing = cluster.submitCrashing()
      for (let crashes = 1; crashes <= 5; crashes++) {
        if (!await cluster.advanceToCrash(crashing, crashes, GIVE_UP_MS)) break
        await cluster.simulation.advance(pausedAfterMs)
        cluster.suspendOwner(pauseMs)
        await cluster.simulation.advance(pauseMs)
      }
      await cluster.simulation.advance(GIVE_UP_MS)
      await assertKept(t, cluster, `paused ${pauseMs} ms, ${pausedAfterMs} ms after each crash`)
    }
  }
})

test.serial('a task that crashes workers is given up although the store fails the owner, or all, after each crash', async t => {
  for (const fault of STORE_FAULTS) {
    for (const target of ['owner', 'all'] as const) {
      for (const faultMs of [1_000, 5_000]) {
        const cluster = await startCluster(6)
        const { simulation } = cluster
        const crashing = cluster.submitCrashing()
        for (let crashes = 1; crashes <= 5; crashes++) {
          if (!await cluster.advanceToCrash(crashing, crashes, GIVE_UP_MS)) break
          const process = target === 'owner' ? simulation.owner?.name ?? 'all' : 'all'
          simulation.rows.faultModes.set(process, fault)
          await simulation.advance(faultMs)
          simulation.rows.faultModes.clear()
        }
        await simulation.advance(GIVE_UP_MS)
        await assertKept(t, cluster, `store ${fault} to ${target} for ${faultMs} ms`)
      }
    }
  }
})

test.serial('a repeating job with a task that crashes workers is given up, and its later occurrences start nothing', async t => {
  for (const intervalMs of [1_000, 6_000]) {
    const cluster = await startCluster(6)
    cluster.submitHarmless(4, 4, 2_000)
    const firstRunAt = cluster.simulation.clock.wallTime() + 500
    const crashing = cluster.submit([stepOf()], () => CRASHING_RUN, { isCrashing: true, occurrences: 8, firstRunAt, intervalMs })
    t.true(await cluster.advanceToCrash(crashing, 3))
    await cluster.simulation.advance(2 * GIVE_UP_MS)
    await assertKept(t, cluster, `every ${intervalMs} ms`)
  }
})

test.serial('with several cells, tasks that crash workers are given up in each', async t => {
  const cluster = new CrashingCluster(12)
  cluster.simulation.workersPerCell = 4
  for (const [index, worker] of [...cluster.simulation.workers.values()].entries()) worker.rack = `r${index % 6}`
  await cluster.start(4)
  await cluster.simulation.advance(4_000)
  const crashing = []
  for (let count = 0; count < 4; count++) {
    cluster.submitHarmless(3, 4, 1_500)
    crashing.push(cluster.submitCrashing())
    await cluster.simulation.advance(1_000)
  }
  for (const job of crashing) t.true(await cluster.advanceToCrash(job, 3, 60_000))
  await cluster.simulation.advance(GIVE_UP_MS)
  await assertKept(t, cluster, '3 cells')
})

test.serial('jobs that keep coming while several tasks crash workers are all done', async t => {
  for (const gapMs of [400, 150]) {
    const cluster = await startCluster(10)
    cluster.simulation.returnAfterMs = 1_000
    for (let count = 0; count < 60; count++) {
      if (count % 12 === 0) cluster.submitCrashing()
      cluster.submitHarmless(1, 4, 1_500)
      await cluster.simulation.advance(gapMs)
    }
    await cluster.simulation.advance(2 * GIVE_UP_MS)
    await assertKept(t, cluster, `every ${gapMs} ms`)
  }
})

test.serial('on a day on which many workers crash for other reasons no job fails, and all are done', async t => {
  for (let seed = 1; seed <= 6; seed++) {
    const random = new SeededRandom(seed)
    const cluster = new CrashingCluster(9)
    const workers = [...cluster.simulation.workers.values()]
    for (const [index, worker] of workers.entries()) worker.rack = `r${index % 3}`
    await cluster.start()
    for (let crash = 1; crash <= 30; crash++) {
      cluster.submitHarmless(1, 4, 600 + 2_000 * random.fraction())
      await cluster.simulation.advance(500 + 1_500 * random.fraction())
      const first = workers[Math.floor(random.fraction() * workers.length)]
      const crashing = crash % 15 === 0 ? workers : crash % 5 === 0 ? workers.filter(({ rack }) => rack === first?.rack) : workers.filter(worker => worker === first)
      cluster.crashWorkers(crashing, 200 + 4_000 * random.fraction())
    }
    await cluster.simulation.advance(40_000)
    await assertKept(t, cluster, `day ${seed}`)
  }
})

test.serial('jobs whose rack, or all workers, crash at once soon after their start, three times, do not fail', async t => {
  for (const crashing of ['rack', 'all'] as const) {
    for (const crashedAfterMs of [5, 200]) {
      const cluster = new CrashingCluster(6)
      const workers = [...cluster.simulation.workers.values()]
      for (const [index, worker] of workers.entries()) worker.rack = `r${index % 2}`
      await cluster.start()
      const job = cluster.submit([stepOf({ taskCount: 12, processors: 3_000 })], () => ({ runMs: 3_000, ending: 'done' }))
      for (let crashes = 1; crashes <= 3; crashes++) {
        const start = await cluster.advanceToStart(job)
        if (start === undefined) break
        await cluster.simulation.advance(crashedAfterMs)
        const { rack } = cluster.simulation.worker(start.worker)
        cluster.crashWorkers(workers.filter(worker => crashing === 'all' || worker.rack === rack), 1_000)
      }
      await cluster.simulation.advance(40_000)
      await assertKept(t, cluster, `${crashing}, ${crashedAfterMs} ms after the start`)
    }
  }
})

test.serial('a task whose workers drain just after its start and then leave, many times, does not fail its job', async t => {
  for (const isLasting of [false, true]) {
    for (const drainMs of [150, 400, 2_000]) {
      const cluster = await startCluster(4)
      const { simulation } = cluster
      const job = cluster.submit([stepOf({ isLasting })], () => isLasting ? LASTING_RUN : { runMs: 4_000, ending: 'done' })
      for (let drains = 1; drains <= 6; drains++) {
        const start = await cluster.advanceToStart(job)
        if (start === undefined) return t.fail(`no start after ${drains - 1} drains of ${drainMs} ms`)
        cluster.drainWorker(simulation.worker(start.worker), drainMs, 1_500)
        await simulation.advance(drainMs)
      }
      await simulation.advance(20_000)
      await assertKept(t, cluster, `${isLasting ? 'long-running, ' : ''}drains take ${drainMs} ms`)
    }
  }
})

test.serial('a task whose workers are cut off just after its start and return in the same incarnation, many times, does not fail its job', async t => {
  for (const link of ['mute', 'late', 'refused'] as const) {
    for (const cutOffMs of [1_000, 8_000]) {
      for (const isLasting of [false, true]) {
        const cluster = await startCluster(4)
        const { simulation } = cluster
        const submit = (): Job => cluster.submit([stepOf({ isLasting })], () => isLasting ? LASTING_RUN : { runMs: 9_000, ending: 'done' })
        let job = submit()
        for (let cuts = 1; cuts <= 6; cuts++) {
          const start = await cluster.advanceToStart(job)
          if (start === undefined) return t.fail(`no start after ${cuts - 1} times ${link} for ${cutOffMs} ms`)
          simulation.links.set(start.worker, link)
          simulation.clock.after(cutOffMs, () => simulation.links.delete(start.worker))
          // The run survives a short cut.
          if (cutOffMs < WORKER_LEASE_MS) job = submit()
        }
        await simulation.advance(40_000)
        await assertKept(t, cluster, `${isLasting ? 'long-running, ' : ''}${link} for ${cutOffMs} ms`)
      }
    }
  }
})

test.serial('a long-running task whose workers crash again and again some time after its start is never given up', async t => {
  const cluster = await startCluster(6)
  const job = cluster.submit([stepOf({ isLasting: true })], () => LASTING_RUN)
  for (const ranForMs of [2_000, 700, 5_000, 900, 1_200, 3_000, 700, 2_000, 6_000, 800]) {
    const start = await cluster.advanceToStart(job)
    if (start === undefined) return t.fail(`not started again after a run of ${ranForMs} ms`)
    await cluster.simulation.advance(ranForMs)
    cluster.crashWorkers([cluster.simulation.worker(start.worker)], 1_000)
  }
  t.not(await cluster.advanceToStart(job), undefined)
  await assertKept(t, cluster, 'crashing workers')
})

const STORIES_IN_CI = 12
const KNOWN_RED = new URL('../../../KNOWN-RED.txt', import.meta.url)

// Other stories are played by hand, see CONTRIBUTING.md.
const firstSeed = Number(process.env.FIRST_STORY ?? 1)
const seeds = Array.from({ length: Number(process.env.STORIES ?? STORIES_IN_CI) }, (_, index) => firstSeed + index)

const knownRed = readFileSync(KNOWN_RED, 'utf8').split('\n').filter(line => line.startsWith('crashingTasks, stories |'))
const isKnownRed = (seed: number): boolean => knownRed.some(line => line.split('|')[2]?.split(' ').includes(`${seed}`))

for (const seed of seeds) {
  const story = isKnownRed(seed) ? test.serial.failing : test.serial
  story(`whatever fails beside them, tasks that crash workers are given up, and no others: story ${seed}`, async t => {
    t.deepEqual(await new CrashStory(seed).play(), [])
  })
}

for (const seed of seeds) {
  test.serial(`whatever fails, no job is given up if no task crashes workers: story ${seed}`, async t => {
    t.deepEqual(await new CrashStory(seed, 'faults only').play(), [])
  })
}
