/**
 * The platform's table service, object store and VM list, served at one loopback address.
 */
import { JsonServer, type StandInResponse, type StandInRequest } from './JsonServer.ts'
import { MemoryTable, type MemoryTransaction } from './MemoryTable.ts'
import { StoreFaults } from './StoreFaults.ts'

/** An entry of the VM list. */
export type StandInVm = Readonly<{
  id: string
  dataCentre: string
  rack: string
  address: string
  resources: Readonly<{ processors: number, memoryMb: number, accelerators: number }>
  state: 'live' | 'leaving'
}>

const NOT_FOUND: StandInResponse = { status: 404, body: { message: 'not there' } }

/** Stores everything in memory; `faults` injects faults of the store. */
export class StandInPlatform {
  readonly #table = new MemoryTable()
  readonly #objects = new Map<string, Buffer>()
  readonly #faults = new StoreFaults()
  readonly #server = new JsonServer(request => this.#handle(request))
  #vms: readonly StandInVm[] = []
  #writes = 0
  #reads = 0

  get table (): MemoryTable {
    return this.#table
  }

  get faults (): StoreFaults {
    return this.#faults
  }

  /** Calls that the store executed: transactions and object writes, and reads. */
  get calls (): Readonly<{ writes: number, reads: number }> {
    return { writes: this.#writes, reads: this.#reads }
  }

  get vms (): readonly StandInVm[] {
    return this.#vms
  }

  /** Replaces the VM list. */
  setVms (vms: readonly StandInVm[]): void {
    this.#vms = vms
  }

  /** Listens and resolves to the IP address and port. */
  listen (port = 0): Promise<string> {
    return this.#server.listen(port)
  }

  close (): Promise<void> {
    return this.#server.close()
  }

  async #handle (request: StandInRequest): Promise<StandInResponse | null> {
    if (request.path === '/vms') return { status: 200, body: { vms: this.#vms } }
    const isWrite = request.method !== 'GET'
    const outcome = this.#faults.outcomeOfNextCall(isWrite)
    if (this.#faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.#faults.delayMs))
    if (outcome === 'drop-before') return null
    if (isWrite) this.#writes++
    else this.#reads++
    const response = this.#respond(request)
    return outcome === 'drop-after' ? null : response
  }

  #respond (request: StandInRequest): StandInResponse {
    if (request.path === '/transact') return this.#transact(request)
    if (request.path === '/table') return this.#list(request)
    if (request.path.startsWith('/table/')) return this.#read(request.path.slice('/table/'.length))
    if (request.path.startsWith('/objects/')) return this.#object(request, request.path.slice('/objects/'.length))
    return NOT_FOUND
  }

  #transact (request: StandInRequest): StandInResponse {
    const outcome = this.#table.transact(JSON.parse(request.body.toString('utf8')) as MemoryTransaction)
    return { status: outcome.outcome === 'committed' ? 200 : 409, body: outcome }
  }

  #list (request: StandInRequest): StandInResponse {
    const { query } = request
    return { status: 200, body: this.#table.list(query.get('prefix') ?? '', query.get('after') ?? '', Number(query.get('limit') ?? 100)) }
  }

  #read (key: string): StandInResponse {
    const row = this.#table.read(key)
    return row === null ? NOT_FOUND : { status: 200, body: row }
  }

  #object (request: StandInRequest, key: string): StandInResponse {
    if (request.method === 'PUT') {
      this.#objects.set(key, request.body)
      return { status: 200, body: null }
    }
    if (request.method === 'DELETE') {
      this.#objects.delete(key)
      return { status: 200, body: null }
    }
    const object = this.#objects.get(key)
    return object === undefined ? NOT_FOUND : { status: 200, body: object }
  }
}
