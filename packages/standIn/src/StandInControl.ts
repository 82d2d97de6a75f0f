/**
 * Switches faults of a stand-in region on and off over HTTP, for trying the operators' pages out.
 */
import { JsonServer, type StandInAnswer, type StandInRequest } from './JsonServer.ts'
import type { StandInRegion } from './StandInRegion.ts'
import type { StoreFault } from './StoreFaults.ts'

/** What can befall a VM. */
export type VmFault = 'live' | 'leaving' | 'gone' | 'silent'

const DONE: StandInAnswer = { status: 200, body: { outcome: 'done' } }

/** `PUT /store` takes a `StoreFault`; `PUT /vms/ID` takes `{ "state": ... }` with a `VmFault`. */
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

  async #handle (request: StandInRequest): Promise<StandInAnswer> {
    const [, kind, id = ''] = request.path.split('/')
    if (request.method !== 'PUT') return { status: 405, body: { message: 'use PUT' } }
    const message: unknown = JSON.parse(request.body.toString('utf8'))
    if (kind === 'store') {
      this.#region.platform.faults.set(message as StoreFault)
      return DONE
    }
    const isKnown = kind === 'vms' && this.#region.workers.has(id)
    if (!isKnown) return { status: 404, body: { message: 'use /store or /vms/ID' } }
    await this.#change(id, (message as { state: VmFault }).state)
    return DONE
  }

  async #change (id: string, state: VmFault): Promise<void> {
    if (state === 'gone') return await this.#region.kill(id)
    this.#region.workers.get(id)?.setSilent(state === 'silent')
    const { platform } = this.#region
    platform.setVms(platform.vms.map(vm => vm.id === id ? { ...vm, state: state === 'leaving' ? 'leaving' : 'live' } : vm))
  }
}
