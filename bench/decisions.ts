/**
 * Decisions per second of one core as a function of VMs and queued tasks, and the longest pass with a new urgent
 * task.
 * Usage: node --import tsx bench/decisions.ts [plain]
 */
import {
  brand, SeededRandom, type CellId, type DataCentre, type Epoch, type Instant, type LeaseSession, type RackId, type TaskId, type TeamName, type VmId
} from '@auburnpin/common'
import { Cell, ColocationPolicy, DEFAULT_COLOCATION, LearntInterference, BaselinePolicy, SpreadPolicy, type ListedVm, type TaskSpec } from '@auburnpin/core'

const VM_COUNTS = [100, 600, 5_000]
const QUEUED_COUNTS = [1_000, 10_000, 100_000]
const TEAMS = 68
const SCHEDULING_PASSES = 40
const SESSION = brand<LeaseSession>('s')
const isPlain = process.argv[2] === 'plain'

const vmOf = (index: number): ListedVm => ({
  id: brand<VmId>(`vm-${index}`),
  dataCentre: brand<DataCentre>('dc'),
  rack: brand<RackId>(`r${index >> 3}`),
  address: `vm-${index}:1`,
  resources: { processors: 32, memoryMb: 125_000, accelerators: 0 },
  isLeaving: false
})

// Eight sizes and five programs for each of 68 teams: 2,720 distinct combinations.
const specOf = (index: number, isUrgent = false): TaskSpec => ({
  id: brand<TaskId>(`${isUrgent ? 'u' : 't'}${index}`),
  kind: 'batch',
  isUrgent,
  team: brand<TeamName>(`team-${index % TEAMS}`),
  resources: { processors: 1 + (index % 8), memoryMb: 1_000, accelerators: 0 },
  command: `program-${index % 5}`,
  acceptedAt: index
})

const newCell = (vms: number): Cell => {
  const policy = isPlain ? new BaselinePolicy(new SpreadPolicy()) : new ColocationPolicy(new LearntInterference(), new SeededRandom(1), DEFAULT_COLOCATION)
  const cell = new Cell({ cell: brand<CellId>('c'), epoch: brand<Epoch>(1) }, policy)
  const listed = Array.from({ length: vms }, (_, index) => vmOf(index))
  cell.step({ kind: 'vms-listed', vms: listed }, brand<Instant>(0))
  for (const { id } of listed) cell.step({ kind: 'lease-granted', vm: id, session: SESSION, sentAt: brand<Instant>(0) }, brand<Instant>(0))
  return cell
}

// Ends the placed attempts, so that each pass starts with the same free capacity and the same queue.
const endTasks = (cell: Cell, ids: readonly TaskId[], now: Instant): void => {
  for (const id of ids) {
    const task = cell.state.tasks.get(id)
    if (task?.placement === undefined) continue
    const { transitions } = cell.step({ kind: 'reported', vm: task.placement.vm, askedAt: now, session: null, tasks: [] }, now)
    cell.markDurable(transitions, now)
    // A report without a session closes the current one, so the lease is granted again.
    cell.step({ kind: 'lease-granted', vm: task.placement.vm, session: SESSION, sentAt: now }, now)
  }
}

const measure = (vms: number, queued: number): void => {
  const cell = newCell(vms)
  for (let index = 0; index < queued; index++) cell.step({ kind: 'submitted', spec: specOf(index) }, brand<Instant>(0))
  cell.step({ kind: 'tick' }, brand<Instant>(1))
  let decisionCount = 0
  let totalMs = 0
  let worstUrgentMs = 0
  for (let pass = 0; pass < SCHEDULING_PASSES; pass++) {
    const now = brand<Instant>(100 + pass * 100)
    if (pass % 4 === 0) cell.step({ kind: 'submitted', spec: specOf(pass, true) }, now)
    const before = performance.now()
    const { transitions } = cell.step({ kind: 'tick' }, now)
    const passMs = performance.now() - before
    cell.markDurable(transitions, now)
    totalMs += passMs
    if (pass % 4 === 0) worstUrgentMs = Math.max(worstUrgentMs, passMs)
    const assigned = transitions.flatMap(transition => transition.kind === 'assigned' ? [transition.task] : [])
    decisionCount += assigned.length
    endTasks(cell, assigned, brand<Instant>(now + 50))
  }
  console.log(JSON.stringify({
    policy: isPlain ? 'plain' : 'colocation',
    vms,
    queued,
    decisions: decisionCount,
    decisionsPerSecond: Math.round(1_000 * decisionCount / totalMs),
    worstUrgentPassMs: Math.round(worstUrgentMs * 10) / 10
  }))
}

for (const vms of VM_COUNTS) for (const queued of QUEUED_COUNTS) measure(vms, queued)
