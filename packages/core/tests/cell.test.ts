import test from 'ava'
import {
  brand, type Attempt, type CellId, type DataCentre, type Epoch, type Instant, type LeaseSession, type RackId, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import { Cell, EMPTY_LIST_MS, LEASE_MARGIN_MS, PlainPolicy, SpreadPolicy, WORKER_LEASE_MS, type CellEvent, type CellStep, type ListedVm, type ReportedTask, type TaskSpec } from '../src/index.ts'

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

class Story {
  readonly cell = new Cell({ cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(1) }, new PlainPolicy(new SpreadPolicy()))
  #now = 0

  tell (event: CellEvent, afterMs = 10): CellStep {
    this.#now += afterMs
    return this.cell.step(event, brand<Instant>(this.#now))
  }

  get now (): Instant {
    return brand<Instant>(this.#now)
  }

  withVm (): this {
    this.tell({ kind: 'vms-listed', vms: [vm] })
    this.tell({ kind: 'lease-granted', vm: VM, session: SESSION, sentAt: this.now })
    return this
  }

  report (session: LeaseSession | null, tasks: readonly ReportedTask[]): CellStep {
    return this.tell({ kind: 'reported', vm: VM, askedAt: brand<Instant>(this.#now + 5), session, tasks })
  }

  stateOf (id: TaskId): string | undefined {
    return this.cell.state.tasks.get(id)?.state
  }
}

const running = (id: TaskId, attempt: number): ReportedTask => ({ id, attempt: brand<Attempt>(attempt), state: 'running' })

test('a submitted job is assigned, started, and finished by the worker\'s own word', t => {
  const story = new Story().withVm()
  story.tell({ kind: 'submitted', spec: spec(JOB, 2) })
  const placed = story.tell({ kind: 'tick' })
  t.deepEqual(placed.transitions.map(transition => transition.kind), ['assigned'])
  t.deepEqual(placed.actions.map(action => action.kind), ['start'])
  story.report(SESSION, [running(JOB, 1)])
  t.is(story.stateOf(JOB), 'running')
  const ended = story.report(SESSION, [{ ...running(JOB, 1), state: 'finished', result: 'done' }])
  t.is(story.stateOf(JOB), 'finished')
  t.deepEqual(ended.actions.map(action => action.kind), ['acknowledge'])
})

test('a start that did not arrive is sent again while the lease session is open', t => {
  const story = new Story().withVm()
  story.tell({ kind: 'submitted', spec: spec(JOB, 2) })
  story.tell({ kind: 'tick' })
  const again = story.report(SESSION, [])
  t.deepEqual(again.actions.map(action => action.kind), ['start'])
  t.is(story.cell.state.tasks.get(JOB)?.attempt, brand<Attempt>(1))
})

test('only a closed lease session ends an attempt that the worker does not know', t => {
  const story = new Story().withVm()
  story.tell({ kind: 'submitted', spec: spec(JOB, 2) })
  story.tell({ kind: 'tick' })
  const lost = story.report(null, [])
  t.like(lost.transitions[0], { kind: 'ended', end: 'lost' })
  t.is(story.stateOf(JOB), 'queued')
})

test('a job larger than every VM is unrunnable and does not block the one behind it', t => {
  const story = new Story().withVm()
  const small = brand<TaskId>('order-2')
  story.tell({ kind: 'submitted', spec: spec(JOB, 64) })
  story.tell({ kind: 'submitted', spec: spec(small, 1) })
  story.tell({ kind: 'tick' })
  t.is(story.stateOf(JOB), 'unrunnable')
  t.is(story.stateOf(small), 'starting')
})

test('room is given back only when an attempt has surely ended', t => {
  const story = new Story().withVm()
  const second = brand<TaskId>('order-2')
  story.tell({ kind: 'submitted', spec: spec(JOB, 4) })
  story.tell({ kind: 'tick' })
  story.tell({ kind: 'submitted', spec: spec(second, 4) })
  story.tell({ kind: 'cancelled', task: JOB })
  story.tell({ kind: 'tick' })
  t.is(story.stateOf(second), 'queued')
  story.report(SESSION, [{ ...running(JOB, 1), state: 'stopped' }])
  t.is(story.stateOf(JOB), 'cancelled')
  story.tell({ kind: 'tick' })
  t.is(story.stateOf(second), 'starting')
})

test('a new owner ends what ran on a VM that no list names, but not by an empty list that lasts less than a minute', t => {
  const story = new Story().withVm()
  story.tell({ kind: 'submitted', spec: spec(JOB, 2) })
  story.tell({ kind: 'tick' })
  const taken = [...story.cell.state.tasks.values()]
  const lostAfter = (vms: readonly ListedVm[]): number => {
    const next = new Story()
    next.cell.restore([], next.now, taken)
    for (let seconds = 1; seconds < 120; seconds++) {
      next.tell({ kind: 'vms-listed', vms }, 1_000)
      if (next.tell({ kind: 'tick' }, 0).transitions.some(transition => transition.kind === 'ended')) return seconds * 1_000
    }
    return Infinity
  }
  const leaseMs = WORKER_LEASE_MS + LEASE_MARGIN_MS
  t.is(lostAfter([{ ...vm, id: brand<VmId>('vm-2') }]), 1_000 + leaseMs)
  t.is(lostAfter([]), 1_000 + EMPTY_LIST_MS + leaseMs)
  t.is(lostAfter([vm]), Infinity)
})
