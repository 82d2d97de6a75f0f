/** Guards against two cells that both start runs of a task (design 071). */
import test from 'ava'
import { brand, type CellId, type Epoch, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { JobScheduler, noProgress, type DelegatedTasks, type Delegation, type TaskRecord } from '../src/jobs/index.ts'

const ID = '00000000000000a1'
const HOME = brand<CellId>('cell-0')
const OTHER = brand<CellId>('cell-1')
const NOW = brand<Instant>(10_000)
const JOB = jobOf(ID, [stepOf({ isLasting: true, taskCount: 2 })])

const schedulerOf = (epoch = 2): JobScheduler => new JobScheduler(brand<Epoch>(epoch), { leaseMs: 4_000 }, brand<Instant>(0), new SilentJobSchedulerObserver())

const taskOf = (scheduler: JobScheduler): TaskRecord => scheduler.jobs.get(JOB.id)?.findTask(0, 0, 0) as TaskRecord

const reportOf = (delegation: Delegation): DelegatedTasks => ({ delegations: { '0.0.0': delegation }, progress: noProgress('active') })

const store = (scheduler: JobScheduler): void => { scheduler.markStored(scheduler.takeDirty(90)) }

test('the other cell is told of a delegation only once it is durable, and until the task is done', t => {
  const scheduler = schedulerOf()
  scheduler.addJob(JOB, NOW)
  scheduler.delegations.delegate(taskOf(scheduler), OTHER)
  const job = scheduler.jobs.get(JOB.id)!
  t.deepEqual(scheduler.delegations.delegatedTo(job, OTHER).delegations, {})
  const taken = scheduler.takeDirty(90)
  t.deepEqual(scheduler.delegations.delegatedTo(job, OTHER).delegations, {})
  scheduler.markStored(taken)
  t.deepEqual(scheduler.delegations.delegatedTo(job, OTHER).delegations, { '0.0.0': { number: 1, lastAttempt: 100_000, cell: OTHER } })
})

test('what a cell reports of an earlier delegation, or one cell of a delegation to another, returns no task', t => {
  const scheduler = schedulerOf()
  scheduler.addJob(JOB, NOW)
  const job = scheduler.jobs.get(JOB.id)!
  scheduler.delegations.delegate(taskOf(scheduler), OTHER)
  t.is(scheduler.delegations.applyReport(job, OTHER, reportOf({ number: 1, lastAttempt: 300_000, cell: HOME }), NOW).length, 1)
  scheduler.delegations.delegate(taskOf(scheduler), OTHER)
  t.is(scheduler.delegations.applyReport(job, OTHER, reportOf({ number: 1, lastAttempt: 300_000, cell: HOME }), NOW).length, 0)
  t.is(scheduler.delegations.applyReport(job, brand<CellId>('cell-2'), reportOf({ number: 2, lastAttempt: 300_000, cell: HOME }), NOW).length, 0)
  t.true(taskOf(scheduler).isElsewhere)
})

test('an interrupted task is delegated although more tasks of its step have never found a place', t => {
  const scheduler = schedulerOf()
  scheduler.addJob(jobOf(ID, [stepOf({ isLasting: true, taskCount: 60 })]), NOW)
  scheduler.decide(brand<Instant>(NOW + 20_000), 0)
  const step = scheduler.jobs.get(JOB.id)!.occurrences.get(0)![0]!
  step.tasks[59]!.hasRun = true
  for (const elapsedMs of [20_000, 30_000]) {
    scheduler.decide(brand<Instant>(NOW + elapsedMs), 0)
    t.is(scheduler.delegations.waitingTasks(brand<Instant>(NOW + elapsedMs))[0]?.index, 59, `after ${elapsedMs} ms`)
  }
  t.is(scheduler.delegations.waitingTasks(brand<Instant>(NOW + 30_000)).length, 17)
})

test('attempts of each stay in a cell are above all earlier ones, whatever the epochs of the cells', t => {
  const home = schedulerOf(50)
  home.addJob(JOB, NOW)
  const first = taskOf(home).nextAttempt(4_900_001)
  home.delegations.delegate(taskOf(home), OTHER)
  store(home)
  const guest = schedulerOf(2)
  guest.delegations.accept(JOB, HOME, home.delegations.delegatedTo(home.jobs.get(JOB.id)!, OTHER), NOW)
  const second = taskOf(guest).nextAttempt(100_001)
  t.true(second > first)
  // The next owner of the other cell knows no attempt of the one before.
  const successor = schedulerOf(3)
  successor.delegations.accept(JOB, HOME, home.delegations.delegatedTo(home.jobs.get(JOB.id)!, OTHER), NOW)
  t.true(taskOf(successor).nextAttempt(200_001) > second)
})

test('a task that was given back is not accepted again under the same number, also by the next owner', t => {
  const home = schedulerOf()
  home.addJob(JOB, NOW)
  home.delegations.delegate(taskOf(home), OTHER)
  store(home)
  const delegated = home.delegations.delegatedTo(home.jobs.get(JOB.id)!, OTHER)
  const guest = schedulerOf()
  guest.replaceWorkers([workerEntryOf('w1')], NOW)
  guest.decide(brand<Instant>(NOW + 20_000), 0)
  t.is(guest.delegations.accept(JOB, HOME, delegated, NOW).length, 1)
  guest.delegations.returnTasks(brand<Instant>(NOW + 20_000))
  store(guest)
  t.is(guest.delegations.returnTasks(brand<Instant>(NOW + 21_000)).length, 1)
  const job = guest.jobs.get(JOB.id)!
  t.deepEqual(guest.delegations.reportOf(job).delegations, {}, 'before it is durable')
  store(guest)
  t.deepEqual(guest.delegations.reportOf(job).delegations, { '0.0.0': { number: 1, lastAttempt: 200_000, cell: HOME } })
  t.is(guest.delegations.accept(JOB, HOME, delegated, NOW).length, 0)
  const stored = guest.jobs.get(JOB.id)!.progress
  const successor = schedulerOf(3)
  t.is(successor.delegations.accept(JOB, HOME, delegated, NOW, stored).length, 0)
  t.true(taskOf(successor).isElsewhere)
})
