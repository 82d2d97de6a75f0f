/**
 * Injects and clears faults of a stand-in region over HTTP, so that the procedures in the operators' documentation
 * can be tried out.
 */
import { JsonServer, type StandInResponse, type StandInRequest } from './JsonServer.ts'
import type { StandInRegion } from './StandInRegion.ts'
import type { StoreFault } from './StoreFaults.ts'

/**
 * State to put a VM into: `gone` stops its worker and removes it from the VM list, `silent` makes its worker
 * unresponsive, `leaving` marks it in the VM list, and `live` clears the last two.
 */
export type VmState = 'live' | 'leaving' | 'gone' | 'silent'

const DONE: StandInResponse = { status: 200, body: { outcome: 'done' } }

/** `PUT /store` accepts a `StoreFault`; `PUT /vms/ID` accepts `{ "state": ... }` with a `VmState`. */
export class StandInControl {
  readonly #region: StandInRegion
  readonly #server = new JsonServer(request => this.#handle(request))

  constructor (region: StandInRegion) {
    this.#region = region
  }

  listen (port = 0): Promise<string> {
    return this.#server.listen(port)
  }

  close (): Promise<void> {
    return this.#server.close()
  }

  async #handle (request: StandInRequest): Promise<StandInResponse> {
    const [, kind, id = ''] = request.path.split('/')
    if (request.method !== 'PUT') return { status: 405, body: { message: 'use PUT' } }
    const message: unknown = JSON.parse(request.body.toString('utf8'))
    if (kind === 'store') {
      this.#region.platform.faults.set(message as StoreFault)
      return DONE
    }
    const isKnown = kind === 'vms' && this.#region.workers.has(id)
    if (!isKnown) return { status: 404, body: { message: 'use /store or /vms/ID' } }
    await this.#setVmState(id, (message as { state: VmState }).state)
    return DONE
  }

  async #setVmState (id: string, state: VmState): Promise<void> {
    if (state === 'gone') return await this.#region.kill(id)
    this.#region.workers.get(id)?.setUnresponsive(state === 'silent')
    const { platform } = this.#region
    platform.setVms(platform.vms.map(vm => vm.id === id ? { ...vm, state: state === 'leaving' ? 'leaving' : 'live' } : vm))
  }
}
