/**
 * Formats the status of a region as text.
 */
import type { MemberFigures, MemberRow } from '@auburnpin/cluster'
import type { CellStatus, EvacuationStatus } from '@auburnpin/gateway'
import type { Endpoint } from '@auburnpin/core'
import { formatTable } from './formatTable.ts'

/** Response body of `GET /v1/status`. */
export type Status = Readonly<{
  configVersion: number
  drains: readonly string[]
  /** Missing in the response of a member of an earlier release. */
  evacuations?: readonly EvacuationStatus[]
  members: readonly MemberRow[]
  cells: readonly CellStatus[]
  figures: readonly MemberFigures[]
  endpoints: readonly Endpoint[]
}>

const MS_PER_SECOND = 1_000

/** Returns lines of at most 80 characters; `now` is the wall-clock time in milliseconds. */
export const formatStatus = (status: Status, now: number): string[] => [
  `configuration version ${status.configVersion}, in force at ${countInForce(status)} of ${status.members.length} members`,
  ...(status.drains.length === 0 ? [] : [`drained ${status.drains.join(', ')}`.slice(0, 80)]),
  ...(status.evacuations ?? []).map(({ dataCentre, since, reason }) => `evacuated ${dataCentre} since ${new Date(since).toISOString()}: ${reason}`.slice(0, 80)),
  '',
  ...formatTable(['MEMBER', 'DATA CENTRE', 'ROLES', 'VERSION', 'STATE'], status.members.map(memberRow)),
  '',
  ...formatTable(['CELL', 'OWNER', 'EPOCH', 'QUEUED', 'RUNNING', 'UNRUNNABLE', 'OLDEST'], status.cells.map(cell => cellRow(cell, now))),
  '',
  ...formatTable(['SERVICE', 'ENDPOINTS', 'LEAVING', 'SLOTS', 'ANSWERED', 'REFUSED', 'WORST P99'], serviceRows(status)),
  '',
  `tasks finished ${sumOf(status.figures, figures => figures.tasksFinished)}; evictions ${formatEvictions(status.figures)}; invariants broken ${sumOf(status.figures, figures => figures.invariantsBroken)}`,
  `measured over the last ${measuredSeconds(status.figures)} s at ${status.figures.length} of ${status.members.length} members`
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

const serviceRows = (status: Status): string[][] => {
  const measured = status.figures.flatMap(figures => figures.services)
  const services = new Set([...status.endpoints.map(endpoint => String(endpoint.service)), ...measured.map(figures => figures.service)])
  return [...services].sort().map(service => {
    const serviceEndpoints = status.endpoints.filter(endpoint => endpoint.service === service)
    const ready = serviceEndpoints.filter(endpoint => !endpoint.isLeaving)
    const figures = measured.filter(candidate => candidate.service === service)
    const worstP99Ms = Math.max(0, ...figures.map(candidate => candidate.p99Ms))
    return [
      service, ready.length, serviceEndpoints.length - ready.length, sumOf(ready, endpoint => endpoint.slots),
      sumOf(figures, candidate => candidate.answered), sumOf(figures, candidate => candidate.refused), `${worstP99Ms} ms`
    ].map(String)
  })
}

const formatEvictions = (figures: readonly MemberFigures[]): string => {
  const counts = new Map<string, number>()
  for (const { reason, count } of figures.flatMap(member => member.evictions)) counts.set(reason, (counts.get(reason) ?? 0) + count)
  const parts = [...counts].sort().map(([reason, count]) => `${count} ${reason}`)
  return parts.length === 0 ? '0' : parts.join(', ')
}

const measuredSeconds = (figures: readonly MemberFigures[]): number =>
  Math.round(Math.max(0, ...figures.map(member => member.windowMs)) / MS_PER_SECOND)

const sumOf = <Item>(items: readonly Item[], read: (item: Item) => number): number => items.reduce((sum, item) => sum + read(item), 0)
