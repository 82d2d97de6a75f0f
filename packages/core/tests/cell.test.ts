import test from 'ava'
import {
  brand, type Attempt, type CellId, type DataCentre, type Epoch, type Instant, type LeaseSession, type RackId, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import { Cell, EMPTY_LIST_CONFIRMATION_MS, LEASE_MARGIN_MS, BaselinePolicy, SpreadPolicy, WORKER_LEASE_MS, type CellEvent, type CellStep, type ListedVm, type ReportedTask, type TaskSpec } from '../src/index.ts'

const VM = brand<VmId>('vm-1')
const SESSION = brand<LeaseSession>('session-1')
const JOB = brand<TaskId>('order-1')

const vm: ListedVm = {
  id: VM,
  dataCentre: brand<DataCentre>('colombo'),
  rack: brand<RackId>('colombo-r1'),
  address: '127.0.0.1:1',
  resources: { processors: 4, memoryMb: 8_000, accelerators: 0 },
  isLeaving: false
}

const spec = (id: TaskId, processors: number): TaskSpec => ({
  id, kind: 'batch', isUrgent: false, team: brand<TeamName>('buyers'), resources: { processors, memoryMb: 100, accelerators: 0 }, command: 'work 1', acceptedAt: 0
})

class CellHarness {
  readonly cell = new Cell({ cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(1) }, new BaselinePolicy(new SpreadPolicy()))
  #now = 0

  step (event: CellEvent, afterMs = 10): CellStep {
    this.#now += afterMs
    return this.cell.step(event, brand<Instant>(this.#now))
  }

  get now (): Instant {
    return brand<Instant>(this.#now)
  }

  withVm (): this {
    this.step({ kind: 'vms-listed', vms: [vm] })
    this.step({ kind: 'lease-granted', vm: VM, session: SESSION, sentAt: this.now })
    return this
  }

  report (session: LeaseSession | null, tasks: readonly ReportedTask[]): CellStep {
    return this.step({ kind: 'reported', vm: VM, askedAt: brand<Instant>(this.#now + 5), session, tasks })
  }

  stateOf (id: TaskId): string | undefined {
    return this.cell.state.tasks.get(id)?.state
  }
}

const running = (id: TaskId, attempt: number): ReportedTask => ({ id, attempt: brand<Attempt>(attempt), state: 'running' })

test('a submitted job is assigned, started, and finished when the worker reports so', t => {
  const harness = new CellHarness().withVm()
  harness.step({ kind: 'submitted', spec: spec(JOB, 2) })
  const placed = harness.step({ kind: 'tick' })
  t.deepEqual(placed.transitions.map(transition => transition.kind), ['assigned'])
  t.deepEqual(placed.actions.map(action => action.kind), ['start'])
  harness.report(SESSION, [running(JOB, 1)])
  t.is(harness.stateOf(JOB), 'running')
  const ended = harness.report(SESSION, [{ ...running(JOB, 1), state: 'finished', result: 'done' }])
  t.is(harness.stateOf(JOB), 'finished')
  t.deepEqual(ended.actions.map(action => action.kind), ['acknowledge'])
})

test('a lost start is sent again while the lease session is open', t => {
  const harness = new CellHarness().withVm()
  harness.step({ kind: 'submitted', spec: spec(JOB, 2) })
  harness.step({ kind: 'tick' })
  const again = harness.report(SESSION, [])
  t.deepEqual(again.actions.map(action => action.kind), ['start'])
  t.is(harness.cell.state.tasks.get(JOB)?.attempt, brand<Attempt>(1))
})

test('an attempt that the worker does not report ends only when its lease session is closed', t => {
  const harness = new CellHarness().withVm()
  harness.step({ kind: 'submitted', spec: spec(JOB, 2) })
  harness.step({ kind: 'tick' })
  const lost = harness.report(null, [])
  t.like(lost.transitions[0], { kind: 'ended', end: 'lost' })
  t.is(harness.stateOf(JOB), 'queued')
})

test('a job larger than every VM is unrunnable and does not block the next job', t => {
  const harness = new CellHarness().withVm()
  const small = brand<TaskId>('order-2')
  harness.step({ kind: 'submitted', spec: spec(JOB, 64) })
  harness.step({ kind: 'submitted', spec: spec(small, 1) })
  harness.step({ kind: 'tick' })
  t.is(harness.stateOf(JOB), 'unrunnable')
  t.is(harness.stateOf(small), 'starting')
})

test('capacity is freed only when an attempt is confirmed to have ended', t => {
  const harness = new CellHarness().withVm()
  const second = brand<TaskId>('order-2')
  harness.step({ kind: 'submitted', spec: spec(JOB, 4) })
  harness.step({ kind: 'tick' })
  harness.step({ kind: 'submitted', spec: spec(second, 4) })
  harness.step({ kind: 'cancelled', task: JOB })
  harness.step({ kind: 'tick' })
  t.is(harness.stateOf(second), 'queued')
  harness.report(SESSION, [{ ...running(JOB, 1), state: 'stopped' }])
  t.is(harness.stateOf(JOB), 'cancelled')
  harness.step({ kind: 'tick' })
  t.is(harness.stateOf(second), 'starting')
})

test('a new owner ends attempts on a VM that is on no VM list, but ignores a list that is empty for less than a minute', t => {
  const harness = new CellHarness().withVm()
  harness.step({ kind: 'submitted', spec: spec(JOB, 2) })
  harness.step({ kind: 'tick' })
  const tasks = [...harness.cell.state.tasks.values()]
  const lostAfter = (vms: readonly ListedVm[]): number => {
    const next = new CellHarness()
    next.cell.restore([], next.now, tasks)
    for (let seconds = 1; seconds < 120; seconds++) {
      next.step({ kind: 'vms-listed', vms }, 1_000)
      if (next.step({ kind: 'tick' }, 0).transitions.some(transition => transition.kind === 'ended')) return seconds * 1_000
    }
    return Infinity
  }
  const leaseMs = WORKER_LEASE_MS + LEASE_MARGIN_MS
  t.is(lostAfter([{ ...vm, id: brand<VmId>('vm-2') }]), 1_000 + leaseMs)
  t.is(lostAfter([]), 1_000 + EMPTY_LIST_CONFIRMATION_MS + leaseMs)
  t.is(lostAfter([vm]), Infinity)
})
