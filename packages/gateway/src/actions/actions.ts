/**
 * All operations, by name.
 */
import type { Action } from './Action.ts'
import { ApplyNoteAction } from './ApplyNoteAction.ts'
import { AuditAction } from './AuditAction.ts'
import { CancelJobAction } from './CancelJobAction.ts'
import { ListJobsAction } from './ListJobsAction.ts'
import { ShowJobAction } from './ShowJobAction.ts'
import { StatusAction } from './StatusAction.ts'
import { SubmitJobAction } from './SubmitJobAction.ts'

/** Registry of all operations; a new operation is added only here. */
export const ACTIONS: readonly Action[] = [
  new ApplyNoteAction(),
  new AuditAction(),
  new CancelJobAction(),
  new ListJobsAction(),
  new ShowJobAction(),
  new StatusAction(),
  new SubmitJobAction()
]
