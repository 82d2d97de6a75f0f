/** Calls that a VM's earlier incarnation was sent are carried out by a later one, which is cut off soon after. */
import test from 'ava'
import { Log, type LogLevel } from '@auburnpin/common'
import { jobOf, stepOf, type FakeJobWorker } from '@auburnpin/fakes'
import { FullCell, wholeWorkers } from './support/FullCell.ts'
import { JobsSimulation } from './support/JobsSimulation.ts'
import { LateCallsStory, type LateCalls } from './support/LateCallsStory.ts'

/** Users allow a long-running task 6 s without a run, and 3 s more, in milliseconds. */
const MAX_AWAY_MS = 9_000
/** How late calls are carried out, in milliseconds. */
const LATE_MS = [2_000, 6_000, 12_000]
/** The link delays no calls itself. */
const NO_DELAY = [0]
const SHORT_RUN_MS = 7_500

/** New work soon and later, cut off soon and later after that. */
const TIMES: readonly Partial<LateCalls>[] = [{ orderedAfterMs: 100, cutOffAfterMs: 600 }, { orderedAfterMs: 1_200, cutOffAfterMs: 600 }, { orderedAfterMs: 100, cutOffAfterMs: 1_500 }]

/** Records when a process gains or loses a term. */
class TermLog extends Log {
  readonly changes: string[] = []

  write (_level: LogLevel, message: string): void {
    if (/^Term (?:claimed|lost|released)$/.test(message)) this.changes.push(message)
  }

  forComponent (): Log {
    return this
  }
}

/** Stories with the same changes. */
const storiesWith = (changes: Partial<LateCalls>, latesMs = LATE_MS): readonly Partial<LateCalls>[] =>
  latesMs.flatMap(lateMs => TIMES.map(times => ({ lateMs, ...times, ...changes })))

const ofEachKind = (changes: Partial<LateCalls>, latesMs = LATE_MS): readonly Partial<LateCalls>[] =>
  [true, false].flatMap(isLasting => storiesWith({ isLasting, ...changes }, latesMs))

/** The same with one owner throughout, and with one that is killed. */
const ofEachOwner = (changes: Partial<LateCalls>, latesMs = LATE_MS): readonly Partial<LateCalls>[] =>
  [...storiesWith({ isLasting: true, ...changes }, latesMs), ...storiesWith({ isLasting: false, owner: 'killed', ...changes }, latesMs)]

/** Plays stories, and returns the broken rules of each. */
const play = async (stories: readonly Partial<LateCalls>[]): Promise<readonly string[]> => {
  const breaches: string[] = []
  for (const story of stories) {
    const played = await new LateCallsStory(story).play()
    if (played.breaches.length > 0) breaches.push(played.breaches.join('; '))
  }
  return breaches
}

test.serial('a task of a reborn VM that is cut off after its owner was killed has one run, whenever calls to the incarnation before come', async t => {
  t.deepEqual(await play(ofEachKind({ owner: 'killed' })), [])
})

test.serial('so it has if the owner is killed some time after the cut', async t => {
  t.deepEqual(await play(ofEachKind({ owner: 'killed', ownerEndsAfterMs: 2_500 })), [])
})

test.serial('a task of a reborn VM that is cut off has one run under the same owner, whenever calls to the incarnation before come', async t => {
  t.deepEqual(await play(ofEachKind({})), [])
})

test.serial('a task of a reborn VM that is cut off has one run if its owner stops and hands over, whenever calls to the incarnation before come', async t => {
  t.deepEqual(await play([...ofEachKind({ owner: 'stopped' }), ...storiesWith({ owner: 'stopped', ownerEndsAfterMs: 2_500 })]), [])
})

test.serial('a short task that ends behind the cut has one run, whenever calls to the incarnation before come', async t => {
  t.deepEqual(await play((['stays', 'killed', 'stopped'] as const).flatMap(owner => storiesWith({ isLasting: false, runMs: SHORT_RUN_MS, owner }))), [])
})

test.serial('late starts alone leave one run of each task', async t => {
  t.deepEqual(await play(ofEachOwner({ late: ['start'] })), [])
})

test.serial('late reports with a lease alone leave one run of each task', async t => {
  t.deepEqual(await play(ofEachOwner({ late: ['report'] })), [])
})

test.serial('late stops alone leave one run of each task', async t => {
  t.deepEqual(await play(ofEachOwner({ late: ['stop'], isCancelled: true })), [])
})

test.serial('late starts and the stops that follow them leave one run of each task', async t => {
  t.deepEqual(await play(ofEachOwner({ late: ['start', 'stop'], isCancelled: true })), [])
})

test.serial('calls sent before the rebirth is noticed that come a moment late leave one run of each task', async t => {
  const unnoticed = { answersAfterMs: 300, listedAfterMs: 400 }
  t.deepEqual(await play(ofEachOwner(unnoticed, [400])), [])
})

test.serial('calls sent before the rebirth is noticed that come seconds late leave one run of each task', async t => {
  const unnoticed = { answersAfterMs: 800, listedAfterMs: 2_000 }
  t.deepEqual(await play(ofEachOwner(unnoticed)), [])
})

test.serial('calls that wait for a VM that is down, and reach its next incarnation at once, leave one run of each task under the same owner', async t => {
  t.deepEqual(await play([...ofEachKind({ link: 'waiting' }, NO_DELAY), ...ofEachKind({ link: 'waiting', listedAfterMs: 600 }, NO_DELAY)]), [])
})

test.serial('so they do if the owner is killed', async t => {
  t.deepEqual(await play([...ofEachKind({ link: 'waiting', owner: 'killed' }, NO_DELAY), ...storiesWith({ link: 'waiting', listedAfterMs: 600, owner: 'killed' }, NO_DELAY)]), [])
})

test.serial('calls that the next incarnation of a VM carries out without an answer leave one run of each task', async t => {
  const unheard = { link: 'unheard', listedAfterMs: 600, answersAfterMs: 400 } as const
  t.deepEqual(await play(ofEachOwner(unheard, NO_DELAY)), [])
})

test.serial('a task of a VM that is reborn twice in a row has one run, whenever calls to the incarnations before come', async t => {
  t.deepEqual(await play(ofEachOwner({ rebirths: 2 })), [])
})

test.serial('a task of a reborn VM that is cut off before it has answered has one run, whenever calls to the incarnation before come', async t => {
  const unanswered = [true, false].flatMap(isLasting => LATE_MS.map(lateMs => ({ isLasting, lateMs, orderedAfterMs: 0, cutOffAfterMs: 0 })))
  t.deepEqual(await play([...unanswered, ...unanswered.map(story => ({ ...story, owner: 'killed' as const }))]), [])
})

test.serial('long-running tasks whose VM is reborn and stays are back in time, although calls to the incarnation before come late', async t => {
  for (const story of storiesWith({ cutOffAfterMs: Infinity })) {
    const { breaches, longestAwayMs } = await new LateCallsStory(story).play()
    t.deepEqual(breaches, [])
    t.true(longestAwayMs <= MAX_AWAY_MS, `${JSON.stringify(story)}: away for ${longestAwayMs} ms`)
  }
})

test.serial('long-running tasks whose VM dies for good are back in time, although it has left calls without an answer', async t => {
  for (const story of storiesWith({ rebirths: 0, cutOffAfterMs: Infinity })) {
    const { breaches, longestAwayMs, simulation } = await new LateCallsStory(story).play()
    t.deepEqual(breaches, [])
    t.true(longestAwayMs <= MAX_AWAY_MS, `${JSON.stringify(story)}: away for ${longestAwayMs} ms`)
    t.is(simulation.worker('w2').running.length, 3)
  }
})

test.serial('a call that a later incarnation of a VM answers slowly, after faster ones that followed it, does not cost the owner its term', async t => {
  for (const lateMs of [300, 650, 1_200]) {
    for (const lateForMs of [20, 60, 200, 500, 1_600]) {
      const log = new TermLog()
      const story = new LateCallsStory({ link: 'slow', lateMs, lateForMs, downMs: 5, cutOffAfterMs: Infinity })
      story.simulation.log = log
      const { breaches } = await story.play()
      t.deepEqual(breaches, [])
      t.deepEqual(log.changes, ['Term claimed'], `late by ${lateMs} ms, sent up to ${lateForMs} ms before`)
    }
  }
})

/** Plays a VM whose later incarnation ends a short task behind a cut, while a report comes late that acknowledges ends of the incarnation before. */
const playLateAcknowledgement = async (lateMs: number, runMs: number, cutOffMs: number): Promise<readonly string[]> => {
  const simulation = new JobsSimulation(1, task => ({ runMs: task.startsWith('00000000000000b1') ? 300 : task.startsWith('00000000000000b2') ? runMs : 1e9, ending: 'done' }))
  simulation.delayOf = ({ kind }) => kind === 'report' ? lateMs : undefined
  const node = simulation.addNode('n1')
  await simulation.advance(12_000)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000b0', [stepOf({ isLasting: true })]), 2_000))
  await simulation.settle(node.jobs.submit(jobOf('00000000000000b1', [stepOf({ taskCount: 6 })]), 2_000))
  await simulation.advance(2_000)
  simulation.links.set('w1', 'delayed')
  await simulation.advance(1_700)
  simulation.worker('w1').crash()
  await simulation.advance(200)
  simulation.worker('w1').restart()
  simulation.links.clear()
  await simulation.advance(300)
  await simulation.settle(node.jobs.submit(jobOf('00000000000000b2', [stepOf()]), 2_000))
  for (let waitedMs = 0; waitedMs < 3_000 && simulation.startsOf('00000000000000b2.0.0.0') === 0; waitedMs += 5) await simulation.advance(5)
  simulation.links.set('w1', 'mute')
  await simulation.advance(cutOffMs)
  simulation.links.clear()
  await simulation.advance(20_000)
  return simulation.breaches.map(breach => `late by ${lateMs} ms, runs for ${runMs} ms, cut off for ${cutOffMs} ms: ${breach}`)
}

test.serial('a late report that acknowledges ends of an earlier incarnation does not make a VM forget those of its present one', async t => {
  const breaches: string[] = []
  for (const lateMs of [2_000, 3_000, 5_000]) {
    for (const runMs of [100, 700]) {
      for (const cutOffMs of [1_500, 3_500]) breaches.push(...await playLateAcknowledgement(lateMs, runMs, cutOffMs))
    }
  }
  t.deepEqual(breaches, [])
})

/** Of the workers of the other cells: a rebirth with calls still on their way, just before one of them gets a delegated task and is cut off. */
const playDelegation = async (rebornAfterMs: number, lateMs: number, killedCells: readonly number[]): Promise<readonly string[]> => {
  const full = new FullCell(3)
  const { simulation } = full
  simulation.delayOf = () => lateMs
  await full.start()
  const job = full.submit([wholeWorkers(4, { processors: 7_000 })])
  for (const cell of [1, 2]) full.submit([stepOf({ isLasting: true, taskCount: 4, maxPerWorker: 1, processors: 500 })], cell)
  await simulation.advance(12_000)
  const others: readonly FakeJobWorker[] = [...full.workersOf(1), ...full.workersOf(2)]
  full.lose(full.workersOf(0)[0] as FakeJobWorker)
  await simulation.advance(rebornAfterMs)
  for (const { id } of others) simulation.links.set(id, 'delayed')
  await simulation.advance(800)
  for (const worker of others) worker.crash()
  await simulation.advance(300)
  for (const worker of others) worker.restart()
  simulation.links.clear()
  const holderOf = (): FakeJobWorker | undefined => others.find(({ running }) => running.some(task => task.startsWith(job.id)))
  for (let waitedMs = 0; waitedMs < 6_000 && holderOf() === undefined; waitedMs += 10) await simulation.advance(10)
  await simulation.advance(1_000)
  const victims = killedCells.map(cell => full.ownerOf(cell))
  for (const name of victims) if (name !== undefined) simulation.nodes.get(name)?.kill()
  for (const { id } of others.slice(0, 2)) simulation.links.set(id, 'mute')
  const holder = holderOf()
  if (holder !== undefined) simulation.links.set(holder.id, 'mute')
  await simulation.advance(25_000)
  return simulation.breaches.map(breach => `reborn after ${rebornAfterMs} ms, late by ${lateMs} ms, owners of ${killedCells.join(' and ') || 'none'} killed: ${breach}`)
}

test.serial('a task that is delegated to a cell whose VMs have just been reborn has one run, whichever owners are killed as the VM is cut off', async t => {
  const breaches: string[] = []
  for (const rebornAfterMs of [1_500, 3_800]) {
    for (const lateMs of [2_000, 6_000]) {
      for (const killedCells of [[], [0], [1], [0, 1]]) {
        const found = await playDelegation(rebornAfterMs, lateMs, killedCells)
        if (found.length > 0) breaches.push(found.join('; '))
      }
    }
  }
  t.deepEqual(breaches, [])
})
