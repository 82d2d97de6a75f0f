/**
 * The status of a region as a person reads it.
 */
import type { MemberRow } from '@auburnpin/cluster'
import type { CellStatus } from '@auburnpin/gateway'
import type { Endpoint, TaskState } from '@auburnpin/core'
import { formatTable } from './formatTable.ts'

/** What `GET /v1/status` answers. */
export type Status = Readonly<{
  configVersion: number
  drains: readonly string[]
  members: readonly MemberRow[]
  cells: readonly CellStatus[]
  endpoints: readonly Endpoint[]
}>

const MS_PER_SECOND = 1_000

/** Lines of at most 80 characters; `now` is the wall clock in milliseconds. */
export const formatStatus = (status: Status, now: number): string[] => [
  `configuration version ${status.configVersion}, in force at ${countInForce(status)} of ${status.members.length} members`,
  ...(status.drains.length === 0 ? [] : [`drained ${status.drains.join(', ')}`.slice(0, 80)]),
  '',
  ...formatTable(['MEMBER', 'DATA CENTRE', 'ROLES', 'VERSION', 'STATE'], status.members.map(memberRow)),
  '',
  ...formatTable(['CELL', 'OWNER', 'EPOCH', 'QUEUED', 'RUNNING', 'UNRUNNABLE', 'OLDEST'], status.cells.map(cell => cellRow(cell, now))),
  '',
  ...formatTable(['SERVICE', 'ENDPOINTS', 'LEAVING', 'SLOTS'], serviceRows(status.endpoints)),
  '',
  summary(status)
]

const countInForce = (status: Status): number => status.members.filter(row => row.configVersion >= status.configVersion).length

const memberRow = (row: MemberRow): string[] =>
  [row.member, row.dataCentre, row.roles.join('+'), String(row.configVersion), row.isLeaving ? 'leaving' : 'ready']

const cellRow = (cell: CellStatus, now: number): string[] => {
  const { tasks } = cell
  const owner = cell.owner ?? 'none'
  if (tasks === null) return [cell.cell, owner, String(cell.epoch), 'no answer', '', '', '']
  const { states, oldestQueuedAt } = tasks
  const oldest = oldestQueuedAt === null ? '-' : `${Math.max(0, Math.round((now - oldestQueuedAt) / MS_PER_SECOND))} s`
  return [cell.cell, owner, String(cell.epoch), String(states.queued), String(states.starting + states.running + states.evicting), String(states.unrunnable), oldest]
}

const serviceRows = (endpoints: readonly Endpoint[]): string[][] => {
  const services = [...new Set(endpoints.map(endpoint => endpoint.service))].sort()
  return services.map(service => {
    const own = endpoints.filter(endpoint => endpoint.service === service)
    const ready = own.filter(endpoint => !endpoint.isLeaving)
    const slots = ready.reduce((total, endpoint) => total + endpoint.slots, 0)
    return [service, String(ready.length), String(own.length - ready.length), String(slots)]
  })
}

const summary = (status: Status): string => {
  const total = (state: TaskState): number => status.cells.reduce((sum, cell) => sum + (cell.tasks?.states[state] ?? 0), 0)
  const evictions = status.cells.reduce((sum, cell) => sum + (cell.tasks?.evictions ?? 0), 0)
  return `tasks finished ${total('finished')}, failed ${total('failed')}, cancelled ${total('cancelled')}; evictions ${evictions}`
}
