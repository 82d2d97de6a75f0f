/**
 * A region of stand-ins in one process: the platform and its workers.
 */
import { StandInPlatform, type StandInVm } from './StandInPlatform.ts'
import { StandInWorker } from './StandInWorker.ts'
import type { WorkerResources } from './WorkerState.ts'

/** Data centres and workers of a region. */
export type StandInLayout = Readonly<{
  dataCentres: readonly string[]
  workers: number
  workersPerRack: number
  /** Resources of each worker's VM. */
  room: WorkerResources
}>

/** Starts a platform and its workers on loopback ports. */
export class StandInRegion {
  readonly #layout: StandInLayout
  readonly #platform = new StandInPlatform()
  readonly #workers = new Map<string, StandInWorker>()
  #address = ''

  constructor (layout: StandInLayout) {
    this.#layout = layout
  }

  get platform (): StandInPlatform {
    return this.#platform
  }

  /** Workers by VM id. */
  get workers (): ReadonlyMap<string, StandInWorker> {
    return this.#workers
  }

  /** The platform's address. */
  get address (): string {
    return this.#address
  }

  async start (port = 0): Promise<string> {
    this.#address = await this.#platform.listen(port)
    const vms: StandInVm[] = []
    for (let index = 0; index < this.#layout.workers; index++) vms.push(await this.#startWorker(index))
    this.#platform.setVms(vms)
    return this.#address
  }

  /** Stops a VM's worker at once and removes the VM from the VM list. */
  async kill (id: string): Promise<void> {
    await this.#workers.get(id)?.close()
    this.#platform.setVms(this.#platform.vms.filter(vm => vm.id !== id))
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#workers.values()].map(worker => worker.close()))
    await this.#platform.close()
  }

  async #startWorker (index: number): Promise<StandInVm> {
    const { dataCentres, workersPerRack, room } = this.#layout
    const worker = new StandInWorker(room)
    const address = await worker.listen()
    const rackIndex = Math.floor(index / workersPerRack)
    const dataCentre = dataCentres[rackIndex % dataCentres.length] as string
    const id = `vm-${String(index + 1).padStart(3, '0')}`
    this.#workers.set(id, worker)
    return { id, dataCentre, rack: `${dataCentre}-r${rackIndex + 1}`, address, resources: room, state: 'live' }
  }
}
