/**
 * Passes the rows of the jobs table to the owner of a cell.
 */
import type { CellOwner } from './CellOwner.ts'
import type { RowKey, StoredRow } from './RowStore.ts'
import { TableListener } from './TableFollower.ts'

/** Keeps the jobs of an owner up to date with the table. */
export class JobsTableListener extends TableListener {
  readonly #owner: CellOwner

  constructor (owner: CellOwner) {
    super()
    this.#owner = owner
  }

  replaceAll (rows: readonly StoredRow[]): void {
    this.#owner.replaceJobs(rows)
  }

  update (changed: readonly StoredRow[], deleted: readonly RowKey[]): void {
    this.#owner.updateJobs(changed, deleted)
  }
}
