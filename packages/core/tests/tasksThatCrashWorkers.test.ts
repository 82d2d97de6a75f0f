import test from 'ava'
import { brand, type CellId, type Epoch, type JournalSequence, type TaskId, type VmId } from '@auburnpin/common'
import {
  BaselinePolicy, Cell, CRASHES_TO_GIVE_UP, explainTask, FINAL_RETENTION_MS, fromSnapshot, LEASE_MARGIN_MS, MAX_TRIAL_WAIT_MS, MIN_SURVIVAL_MS, readRecord, readSnapshot, SpreadPolicy, toSnapshot, WORKER_LEASE_MS,
  type CellStep, type Task, type Transition
} from '../src/index.ts'
import { idsOf, PolicyScenario, replicaOf, specOf, vmOf } from './support/PolicyScenario.ts'

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5'].map(id => vmOf(id))
const CRASHING = 'recipe-import'
const REPLICA = 'stockline.0'

const placeOf = (scenario: PolicyScenario, id: string): string | undefined => scenario.task(id).placement?.vm

/** The worker of the task's VM crashes and is restarted. */
const crash = (scenario: PolicyScenario, id: string): CellStep => {
  const vm = scenario.task(id).placement?.vm
  if (vm === undefined) throw new Error(`Task ${id} is not placed`)
  return scenario.step({ kind: 'reported', vm, askedAt: brand(scenario.now + 100), session: null, isNewIncarnation: true, tasks: [] }, 100)
}

const startAndCrash = (scenario: PolicyScenario, id: string, times: number): void => {
  for (let count = 0; count < times; count++) {
    scenario.tick(1_000)
    crash(scenario, id)
  }
}

const survive = (scenario: PolicyScenario, id: string): void => {
  scenario.report(id, 'running', 1_000)
  scenario.report(id, 'running', 1_000)
}

const durableTasks = (scenario: PolicyScenario): readonly Task[] => {
  const snapshot = toSnapshot(brand<JournalSequence>(1), scenario.cell.state.tasks.values())
  return fromSnapshot(readSnapshot(JSON.parse(JSON.stringify(snapshot)), 'snapshot').unwrap(), scenario.now)
}

test('the explanation of a task that was given up names the task and the VMs whose workers crashed', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, 1)
  t.regex(explainTask(scenario.task(CRASHING)), /^recipe-import is queued because the worker that started it on VM vm-\d crashed soon after; it starts again by itself, apart from other tasks, and is given up at 3 crashes in a row\.$/)
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  const task = scenario.task(CRASHING)
  t.is(task.state, 'failed')
  const vms = task.crashedOn ?? []
  t.is(new Set(vms).size, CRASHES_TO_GIVE_UP)
  t.is(explainTask(task), `recipe-import failed after 3 attempts because the workers that started it on VMs ${vms.join(', ')} crashed soon after; correct its command, then submit it under a new key or declare it again.`)
})

test('a task that survives a start after two crashes is not given up at the next crash', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  scenario.tick()
  survive(scenario, CRASHING)
  crash(scenario, CRASHING)
  t.is(scenario.task(CRASHING).state, 'queued')
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  t.is(scenario.task(CRASHING).state, 'queued')
  startAndCrash(scenario, CRASHING, 1)
  t.is(scenario.task(CRASHING).state, 'failed')
})

test('reports that show an attempt running for a shorter time don\'t show that it survived its start', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  for (let count = 0; count < CRASHES_TO_GIVE_UP; count++) {
    scenario.tick(1_000)
    scenario.report(CRASHING, 'running', 1_000)
    scenario.report(CRASHING, 'running', MIN_SURVIVAL_MS - 1)
    crash(scenario, CRASHING)
  }
  t.is(scenario.task(CRASHING).state, 'failed')
})

test('a task whose attempt fails by itself between crashes is not given up as one that crashes workers', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  scenario.tick()
  scenario.report(CRASHING, 'failed')
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  t.is(scenario.task(CRASHING).state, 'queued')
})

test('VMs that are drained right after they were sent a task don\'t count, even if they leave the VM list at once', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  const left = new Set<string>()
  for (let count = 0; count <= CRASHES_TO_GIVE_UP; count++) {
    scenario.tick(1_000)
    const place = placeOf(scenario, CRASHING) ?? ''
    const others = VMS.filter(({ id }) => id !== place && !left.has(id))
    scenario.step({ kind: 'vms-listed', vms: [...others, vmOf(place, { isLeaving: true })] })
    left.add(place)
    scenario.step({ kind: 'vms-listed', vms: others }, 100)
    scenario.tick(WORKER_LEASE_MS + LEASE_MARGIN_MS)
    t.is(scenario.task(CRASHING).crashedOn, undefined)
  }
  t.is(left.size, CRASHES_TO_GIVE_UP + 1)
})

test('a worker that is restarted while its VM leaves, or while a task is being stopped there, doesn\'t count', t => {
  for (const id of [REPLICA, CRASHING]) {
    const scenario = new PolicyScenario().withVms(...VMS).withService(100, [replicaOf(REPLICA, 1)])
    scenario.submit(specOf(CRASHING, 1))
    scenario.tick()
    const place = placeOf(scenario, id) ?? ''
    scenario.step({ kind: 'vms-listed', vms: [...VMS.filter(vm => vm.id !== place), vmOf(place, { isLeaving: true })] })
    crash(scenario, id)
    t.is(scenario.task(id).crashedOn, undefined, id)
  }
})

test('a new owner doesn\'t count a task that its predecessor was stopping on a VM that has left since', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  scenario.tick()
  const place = placeOf(scenario, CRASHING) ?? ''
  const others = VMS.filter(vm => vm.id !== place)
  scenario.step({ kind: 'vms-listed', vms: [...others, vmOf(place, { isLeaving: true })] })
  const next = new PolicyScenario()
  next.cell.restore([], next.now, durableTasks(scenario))
  next.withVms(...others)
  next.tick(WORKER_LEASE_MS + LEASE_MARGIN_MS)
  next.tick()
  t.like(next.task(CRASHING), { state: 'starting', crashedOn: undefined })
  t.not(placeOf(next, CRASHING), place)
})

test('tasks that had long run in a data centre that is lost together with their owner don\'t count', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  scenario.tick()
  survive(scenario, CRASHING)
  const place = scenario.task(CRASHING).placement?.vm
  const next = new PolicyScenario()
  next.cell.restore([], next.now, durableTasks(scenario))
  next.withVms(...VMS.filter(vm => vm.id !== place))
  t.deepEqual(idsOf(next.tick(WORKER_LEASE_MS + LEASE_MARGIN_MS), 'ended'), [CRASHING])
  t.like(next.task(CRASHING), { state: 'queued', crashedOn: undefined, reason: { kind: 'vm-lost' } })
})

test('workers that only lost their leases don\'t count', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  for (let count = 0; count <= CRASHES_TO_GIVE_UP; count++) {
    scenario.tick(1_000)
    const vm = scenario.task(CRASHING).placement?.vm
    if (vm === undefined) return t.fail('not placed')
    scenario.step({ kind: 'reported', vm, askedAt: brand(scenario.now + 100), session: null, isNewIncarnation: false, tasks: [] }, 100)
  }
  t.is(scenario.task(CRASHING).crashedOn, undefined)
})

test('tasks that crashed two workers beside each other are started apart from each other and from all new starts', t => {
  const scenario = new PolicyScenario().withVms(...VMS.slice(0, 2)).submit(specOf(CRASHING, 1), specOf('order', 1))
  for (let count = 1; count < CRASHES_TO_GIVE_UP; count++) {
    scenario.tick(1_000)
    if (placeOf(scenario, CRASHING) !== placeOf(scenario, 'order')) return t.pass('they were not started together')
    crash(scenario, CRASHING)
  }
  scenario.submit(specOf('later', 1))
  scenario.tick(1_000)
  t.not(placeOf(scenario, CRASHING), placeOf(scenario, 'order'))
  t.is(placeOf(scenario, 'later'), undefined)
  survive(scenario, 'order')
  scenario.tick()
  t.is(placeOf(scenario, 'later'), placeOf(scenario, 'order'))
  crash(scenario, CRASHING)
  t.deepEqual([CRASHING, 'order', 'later'].map(id => scenario.task(id).state), ['failed', 'running', 'starting'])
})

test('a task after two crashes waits for a VM without other starts, but not without end', t => {
  const scenario = new PolicyScenario().withVms(...VMS.slice(0, 1)).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  scenario.submit(specOf('order', 1, { isUrgent: true }))
  scenario.tick(1_000)
  t.deepEqual(['order', CRASHING].map(id => placeOf(scenario, id)), ['vm-1', undefined])
  for (let passed = 0; passed < MAX_TRIAL_WAIT_MS - 5_000; passed += 1_000) scenario.tick(1_000)
  t.is(placeOf(scenario, CRASHING), undefined)
  for (let passed = 0; passed < 10_000; passed += 1_000) scenario.tick(1_000)
  t.is(placeOf(scenario, CRASHING), 'vm-1')
})

test('a suspect starts on a VM other than those that crashed, with as few other tasks as possible', t => {
  const watches = ['watch-1', 'watch-2']
  const scenario = new PolicyScenario().withVms(...VMS.slice(0, 2)).submit(...watches.map(id => specOf(id, 5, { kind: 'watch' })))
  scenario.tick()
  for (const id of watches) survive(scenario, id)
  scenario.submit(specOf(CRASHING, 1))
  scenario.tick()
  const first = placeOf(scenario, CRASHING)
  crash(scenario, CRASHING)
  scenario.withVms(...VMS.slice(2))
  scenario.tick(1_000)
  const second = placeOf(scenario, CRASHING)
  t.not(second, first)
  t.is(scenario.cell.state.placedOn(brand<VmId>(second ?? '')).size, 1)
})

test('a new owner keeps the count from a snapshot and from the journal', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  const fromSnapshotOnly = durableTasks(scenario).find(({ spec }) => spec.id === CRASHING)
  t.is(fromSnapshotOnly?.crashedOn?.length, CRASHES_TO_GIVE_UP - 1)

  const recorded: Transition[] = [{ kind: 'accepted', spec: specOf(CRASHING, 1) }]
  const next = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  for (let count = 1; count < CRASHES_TO_GIVE_UP; count++) recorded.push(...next.tick(1_000).transitions, ...crash(next, CRASHING).transitions)
  const record = JSON.parse(JSON.stringify({ format: 1, epoch: 1, transitions: recorded })) as unknown
  const cell = new Cell({ cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(2) }, new BaselinePolicy(new SpreadPolicy()))
  cell.restore(readRecord(record, 'record').unwrap().transitions, next.now)
  t.deepEqual(cell.state.durable.get(brand<TaskId>(CRASHING))?.crashedOn, next.task(CRASHING).crashedOn)
})

test('a journal of an earlier version, whose ends don\'t say whether a worker crashed, counts nothing', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  const recorded: Transition[] = [{ kind: 'accepted', spec: specOf(CRASHING, 1) }]
  for (let count = 0; count <= CRASHES_TO_GIVE_UP; count++) {
    const [assigned] = scenario.tick(1_000).transitions
    if (assigned?.kind !== 'assigned') return t.fail('not assigned')
    const { task, attempt, vm } = assigned
    recorded.push(assigned, { kind: 'ended', task, attempt, end: 'lost', reason: { kind: 'lease-ran-out', vm } })
    scenario.step({ kind: 'reported', vm, askedAt: brand(scenario.now + 100), session: null, tasks: [] }, 100)
  }
  const record = JSON.parse(JSON.stringify({ format: 1, epoch: 1, transitions: recorded })) as unknown
  const cell = new Cell({ cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(2) }, new BaselinePolicy(new SpreadPolicy()))
  cell.restore(readRecord(record, 'record').unwrap().transitions, scenario.now)
  t.like(cell.state.tasks.get(brand<TaskId>(CRASHING)), { state: 'queued', attempt: CRASHES_TO_GIVE_UP + 1, crashedOn: undefined })
})

test('the clearing of a count is recorded, so that a later owner doesn\'t go on from it', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  scenario.tick()
  scenario.report(CRASHING, 'running', 1_000)
  t.deepEqual(scenario.report(CRASHING, 'running', 1_000).transitions, [{ kind: 'survived', task: brand<TaskId>(CRASHING), attempt: scenario.task(CRASHING).attempt }])
  t.deepEqual(scenario.report(CRASHING, 'running', 1_000).transitions, [])
  t.is(durableTasks(scenario).find(({ spec }) => spec.id === CRASHING)?.crashedOn, undefined)
})

test('a replica that was given up is not started under another id by the next configuration, but by a changed declaration', t => {
  const scenario = new PolicyScenario().withVms(...VMS).withService(100, [replicaOf(REPLICA, 1)])
  startAndCrash(scenario, REPLICA, CRASHES_TO_GIVE_UP)
  t.is(scenario.task(REPLICA).state, 'failed')
  scenario.withService(100, [replicaOf(REPLICA, 1)])
  scenario.tick(1_000)
  t.deepEqual([...scenario.cell.state.tasks.keys()], [brand<TaskId>(REPLICA)])
  scenario.withService(100, [{ ...replicaOf(REPLICA, 1), command: 'serve corrected' }])
  t.is(idsOf(scenario.tick(1_000), 'assigned').length, 1)
})

test('a successor that crashes its workers doesn\'t replace a replica that works', t => {
  const scenario = new PolicyScenario().withVms(...VMS).withService(100, [replicaOf(REPLICA, 1)])
  scenario.tick()
  survive(scenario, REPLICA)
  const changed = { ...replicaOf(REPLICA, 1), command: 'serve broken' }
  scenario.withService(100, [changed])
  const successor = [...scenario.cell.state.tasks.keys()].find(id => id !== REPLICA) ?? ''
  startAndCrash(scenario, successor, CRASHES_TO_GIVE_UP)
  for (let minute = 0; minute < 10; minute++) {
    scenario.withService(100, [changed])
    scenario.tick(60_000)
    scenario.report(REPLICA, 'running')
  }
  scenario.tick(2 * FINAL_RETENTION_MS)
  scenario.withService(100, [changed])
  t.is(scenario.task(successor).state, 'failed')
  t.like(scenario.task(REPLICA), { state: 'running', isWithdrawn: false })
  t.is(scenario.cell.state.tasks.size, 2)
})

test('a watch that was given up is started again by a changed declaration, with a new count', t => {
  const scenario = new PolicyScenario().withVms(...VMS)
  const declare = (command: string) => scenario.withService(100, [specOf(CRASHING, 1, { kind: 'watch', isDeclared: true, command })])
  declare('watch')
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP)
  declare('watch')
  t.is(scenario.task(CRASHING).state, 'failed')
  declare('watch corrected')
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP - 1)
  t.is(scenario.task(CRASHING).state, 'queued')
})

test('a declared task that was given up is started again once its declaration was withdrawn and made again', t => {
  const scenario = new PolicyScenario().withVms(...VMS)
  const watch = specOf(CRASHING, 1, { kind: 'watch', isDeclared: true })
  scenario.withService(100, [replicaOf(REPLICA, 1), watch])
  for (const id of [CRASHING, REPLICA]) while (scenario.task(id).state !== 'failed') startAndCrash(scenario, id, 1)
  t.deepEqual([CRASHING, REPLICA].map(id => scenario.task(id).state), ['failed', 'failed'])
  scenario.withService(100, [])
  t.deepEqual([CRASHING, REPLICA].map(id => scenario.task(id).state), ['cancelled', 'cancelled'])
  scenario.withService(100, [replicaOf(REPLICA, 1), watch])
  t.is(idsOf(scenario.tick(1_000), 'assigned').length, 2)
})

test('a job that was given up stays failed if it is cancelled', t => {
  const scenario = new PolicyScenario().withVms(...VMS).submit(specOf(CRASHING, 1))
  startAndCrash(scenario, CRASHING, CRASHES_TO_GIVE_UP)
  scenario.step({ kind: 'cancelled', task: brand<TaskId>(CRASHING) })
  t.is(scenario.task(CRASHING).state, 'failed')
})
