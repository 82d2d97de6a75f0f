/**
 * `GET /v1/audit`: the audit trail of configuration changes.
 */
import { AuburnpinError, brand, Err, Ok, type ConfigVersion, type Result } from '@auburnpin/common'
import { AUDIT_PREFIX, auditKey, CURRENT_CONFIGURATION_KEY } from '@auburnpin/cluster'
import { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './Action.ts'
import { readLimit } from './readLimit.ts'

const DEFAULT_AUDIT_ENTRIES = 50

type CurrentRow = Readonly<{ version: number }>

/** Lists who changed what, newest first; `before` takes the `next` of the previous page. */
export class AuditAction extends Action {
  readonly name = 'audit'
  readonly method = 'GET'
  readonly path = '/v1/audit'

  async run (ports: ActionPorts, request: ActionRequest): Promise<Result<ActionResponse, AuburnpinError>> {
    const limit = readLimit(request.query, DEFAULT_AUDIT_ENTRIES)
    if (limit.err) return limit
    const end = await this.#readEnd(ports, request.query.get('before'))
    if (end.err) return end
    if (end.val === 1) return Ok({ status: 200, body: { entries: [], next: null } })
    const start = Math.max(0, end.val - limit.val - 1)
    const page = await ports.table.list(AUDIT_PREFIX, auditKey(brand<ConfigVersion>(start)), end.val - 1 - start)
    return page.map(({ rows }) => ({ status: 200, body: { entries: rows.map(row => row.value).reverse(), next: start === 0 ? null : start + 1 } }))
  }

  // The version after the newest entry of the page.
  async #readEnd (ports: ActionPorts, before: string | null): Promise<Result<number, AuburnpinError>> {
    if (before === null) {
      const current = await ports.table.read(CURRENT_CONFIGURATION_KEY)
      return current.map(row => row === null ? 1 : (row.value as CurrentRow).version + 1)
    }
    const version = Number(before)
    if (Number.isInteger(version) && version > 0) return Ok(version)
    return Err(new AuburnpinError('invalid-request', `before is "${before}"`, 'Use the value of next on the previous page.'))
  }
}
