/**
 * `GET /v1/audit`: the audit trail of configuration changes.
 */
import { type AuburnpinError, type Result } from '@auburnpin/common'
import { AUDIT_PREFIX } from '@auburnpin/cluster'
import { Action, type ActionAnswer, type ActionPorts } from './Action.ts'

/** Shows who changed what, oldest first. */
export class AuditAction extends Action {
  readonly name = 'audit'
  readonly method = 'GET'
  readonly path = '/v1/audit'

  async run (ports: ActionPorts): Promise<Result<ActionAnswer, AuburnpinError>> {
    const rows = await ports.table.listAll(AUDIT_PREFIX)
    return rows.map(found => ({ status: 200, body: { entries: found.map(row => row.value) } }))
  }
}
