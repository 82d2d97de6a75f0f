import test from 'ava'
import fc from 'fast-check'
import { brand, type Attempt, type DataCentre, type Instant, type LeaseSession, type RackId, type ServiceName, type TaskId, type TeamName, type VmId } from '@auburnpin/common'
import { explainTask, summariseTasks, type Task, type TaskReason } from '../src/index.ts'

const VM = brand<VmId>('vm-007')

const STOCKLINE = brand<ServiceName>('stockline')

const TASK: Task = {
  spec: {
    id: brand<TaskId>('order-17'),
    kind: 'batch',
    isUrgent: false,
    team: brand<TeamName>('buyers'),
    resources: { processors: 64, memoryMb: 1_000, accelerators: 0 },
    command: 'work 1',
    acceptedAt: 5_000
  },
  state: 'queued',
  attempt: brand<Attempt>(0),
  failures: 0,
  evictions: 0,
  isWithdrawn: false
}

const PLACEMENT = { vm: VM, session: brand<LeaseSession>('s'), since: brand<Instant>(0), isRunning: true, isStopping: false }

const REASONS: readonly TaskReason[] = [
  { kind: 'waiting-for-room' },
  { kind: 'waiting-for-workers' },
  { kind: 'too-large', largest: { processors: 32, memoryMb: 125_000, accelerators: 0 } },
  { kind: 'over-quota', team: brand<TeamName>('buyers'), quota: { processors: 1, memoryMb: 1, accelerators: 1 } },
  { kind: 'would-slow', service: STOCKLINE },
  { kind: 'waiting-for-eviction', vm: VM },
  { kind: 'placed', vm: VM, servicesOnVm: [STOCKLINE] },
  { kind: 'throttled-for', service: STOCKLINE, share: 0.5 },
  { kind: 'evicted-for-service', service: STOCKLINE, vm: VM },
  { kind: 'redeclared' },
  { kind: 'replaced' },
  { kind: 'evicted-for', task: brand<TaskId>('stockline.0') },
  { kind: 'vm-leaving', vm: VM },
  { kind: 'vm-lost', vm: VM },
  { kind: 'lease-ran-out', vm: VM },
  { kind: 'attempts-used-up', last: 'exit 1' },
  { kind: 'may-crash-workers', vms: [VM] },
  { kind: 'crashed-workers', vms: [VM, VM, VM] },
  { kind: 'withdrawn' },
  { kind: 'by-caller' }
]

test('the explanation of a task that is too large contains the largest VM size and what would change the state', t => {
  const task: Task = { ...TASK, state: 'unrunnable', reason: { kind: 'too-large', largest: { processors: 32, memoryMb: 125_000, accelerators: 0 } } }
  t.is(explainTask(task), 'order-17 can\'t run because no VM of its cell is large enough; the largest offer 32 cores and 125000 MB; submit it with smaller sizes or add a larger VM, upon which it is examined again.')
})

test('the explanation of a throttled task contains its share of the cores', t => {
  const task: Task = { ...TASK, state: 'running', attempt: brand<Attempt>(2), evictions: 1, placement: { ...PLACEMENT, throttle: 0.4 } }
  t.regex(explainTask(task), /^order-17 runs on VM vm-007 as attempt 2 after 1 eviction, throttled to 40 % of its cores/)
})

test('the explanation of a task on an unreachable VM contains why it is not moved yet', t => {
  const vm = { id: VM, dataCentre: brand<DataCentre>('derby'), rack: brand<RackId>('r1'), address: '', resources: TASK.spec.resources, isLeaving: false }
  const task: Task = { ...TASK, state: 'running', attempt: brand<Attempt>(1), placement: PLACEMENT }
  t.is(explainTask(task, { vm: { ...vm, session: PLACEMENT.session } }), explainTask(task))
  t.regex(explainTask(task, { vm }), /^order-17 is placed on VM vm-007 as attempt 1, and the worker there does not respond and holds no lease/)
  t.regex(explainTask(task, { vm: null }), /^order-17 is placed on VM vm-007 as attempt 1, and that VM has left the VM list/)
  t.regex(explainTask(task, { vm: { ...vm, missingSince: brand<Instant>(1) } }), /and that VM has left the VM list; it is moved by itself once its worker's lease has certainly expired\.$/)
})

test('the policy\'s reason is used if the task has no durable reason', t => {
  const running: Task = { ...TASK, state: 'running', attempt: brand<Attempt>(1), placement: PLACEMENT }
  t.is(explainTask(running, { reason: { kind: 'placed', vm: VM, servicesOnVm: [STOCKLINE] } }), 'order-17 runs on VM vm-007 as attempt 1 because VM vm-007 has capacity for it beside stockline; draining the VM or withdrawing the task moves it.')
  t.regex(explainTask(TASK, { reason: { kind: 'would-slow', service: STOCKLINE } }), /^order-17 is queued because on every VM with enough free capacity it would slow stockline past its objective; /)
  t.regex(explainTask({ ...TASK, reason: { kind: 'vm-lost', vm: VM } }, { reason: { kind: 'waiting-for-room' } }), /VM vm-007 has left the VM list/)
})

test('every state and reason gives one sentence that contains the task and the next step', t => {
  const states = fc.constantFrom<Task['state']>('queued', 'starting', 'running', 'evicting', 'finished', 'failed', 'cancelled', 'unrunnable')
  const reasons = fc.constantFrom<TaskReason | undefined>(undefined, ...REASONS)
  fc.assert(fc.property(states, reasons, fc.boolean(), (state, reason, isPlaced) => {
    const sentence = explainTask({ ...TASK, state, reason, placement: isPlaced ? PLACEMENT : undefined })
    t.regex(sentence, /^order-17 [^\n]+; [^\n]+\.$/)
    t.notRegex(sentence, /undefined|\.\./)
  }), { seed: 8, numRuns: 300 })
})

test('a summary counts each task in its state and ignores declared tasks for the age of the queue', t => {
  const declared: Task = { ...TASK, spec: { ...TASK.spec, acceptedAt: 0 } }
  const summary = summariseTasks([TASK, declared, { ...TASK, state: 'finished', evictions: 2 }])
  t.is(summary.states.queued, 2)
  t.is(summary.states.finished, 1)
  t.is(summary.evictions, 2)
  t.is(summary.oldestQueuedAt, 5_000)
})
