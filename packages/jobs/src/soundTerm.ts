/**
 * Checks what `readTerm` leaves open: the numbers of a term, and what it publishes.
 */
import type { RowVersion } from '@auburnpin/common'
import type { CellBacklog, CellLoad, CellWaits, FreePieces, PriorityBacklog, QueueWait } from '@auburnpin/core'
import type { PublishedCells, Term } from './rows.ts'

/**
 * The term without what cannot be used; `undefined` if its epoch cannot be right. Each term has written its row at least
 * once, so that the version of the row is not below its epoch.
 *
 * @example
 * const term = soundTerm(readTerm(row.value), row.version)
 */
export const soundTerm = (term: Term | undefined, version: RowVersion): Term | undefined => {
  if (term === undefined || !isCount(term.epoch) || term.epoch > version) return undefined
  const { pending, workers, loadPercent, evacuatedWorkers, free, freeLater, cells, waits, backlog } = term
  return {
    ...term,
    commit: isCount(term.commit) ? term.commit : 0,
    pending: countsOf(pending),
    workers: isCount(workers) ? workers : 0,
    keptTasks: isCount(term.keptTasks) ? term.keptTasks : undefined,
    loadPercent: typeof loadPercent === 'number' ? loadPercent : undefined,
    evacuatedWorkers: isCount(evacuatedWorkers) ? evacuatedWorkers : undefined,
    free: areFreePieces(free) ? free : undefined,
    freeLater: areFreePieces(freeLater) ? freeLater : undefined,
    cells: isPublishedCells(cells) ? { ...cells, pending: countsOf(cells.pending), keptTasks: areCountsOfCells(cells.keptTasks) ? cells.keptTasks : undefined, waits: soundWaitsOfCells(cells.waits), backlogs: soundBacklogsOfCells(cells.backlogs) } : undefined,
    waits: isCellWaits(waits) ? waits : undefined,
    backlog: isCellBacklog(backlog) ? backlog : undefined
  }
}

/** Whether a term has forecasts of waits, or backlogs, that cannot be read, in a row for this cell or for another. */
export const hasUnreadableForecast = ({ waits, backlog, cells }: Pick<Term, 'waits' | 'backlog' | 'cells'>): boolean =>
  (waits !== undefined && !isCellWaits(waits)) || (backlog !== undefined && !isCellBacklog(backlog)) ||
  (isObject(cells) && ((cells.waits !== undefined && soundWaitsOfCells(cells.waits) === undefined) || (cells.backlogs !== undefined && soundBacklogsOfCells(cells.backlogs) === undefined)))

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0

const areCountsOfCells = (counts: unknown): counts is NonNullable<PublishedCells['keptTasks']> =>
  Array.isArray(counts) && counts.every(count => count === null || isCount(count))

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value)

const countsOf = (counts: Readonly<Record<string, unknown>>): Readonly<Record<string, number>> =>
  Object.fromEntries(Object.entries(counts).filter((entry): entry is [string, number] => isCount(entry[1])))

const isCellLoad = (value: unknown): value is CellLoad =>
  isObject(value) && isCount(value.workers) && typeof value.loadPercent === 'number' && typeof value.isOwned === 'boolean'

const isPublishedCells = (value: unknown): value is PublishedCells =>
  isObject(value) && isCount(value.layoutVersion) && Array.isArray(value.loads) && value.loads.every(isCellLoad) && isObject(value.pending)

const areFreePieces = (value: unknown): value is FreePieces =>
  Array.isArray(value) && value.every(piece => Array.isArray(piece) && piece.length === 2 && piece.every(isCount))

const isWait = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value) && value >= 0

// Each band but the last has an upper bound.
const isQueueWait = (value: unknown): value is QueueWait =>
  isObject(value) && Array.isArray(value.sizes) && Array.isArray(value.waits) &&
  value.waits.length === value.sizes.length + 1 && value.sizes.every(isWait) && value.waits.every(isWait)

const isCellWaits = (value: unknown): value is CellWaits => isObject(value) && Object.values(value).every(isQueueWait)

const soundWaitsOfCells = (value: unknown): PublishedCells['waits'] =>
  Array.isArray(value) && value.every(one => one === null || isCellWaits(one)) ? value : undefined

const isPriorityBacklog = (value: unknown): value is PriorityBacklog => isObject(value) && isCount(value.priority) && isWait(value.drainMs) && isWait(value.limitMs) && Number(value.limitMs) > 0 && isWait(value.typicalSize) && Number(value.typicalSize) > 0

const isCellBacklog = (value: unknown): value is CellBacklog => isObject(value) && Object.values(value).every(kind => Array.isArray(kind) && kind.every(isPriorityBacklog))

const soundBacklogsOfCells = (value: unknown): PublishedCells['backlogs'] =>
  Array.isArray(value) && value.every(one => one === null || isCellBacklog(one)) ? value : undefined
