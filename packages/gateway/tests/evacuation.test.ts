import test from 'ava'
import { AuburnpinError, brand, Err, Ok, SeededRandom, VirtualClock, type CellId, type DataCentre, type MemberId, type Result } from '@auburnpin/common'
import type { PeerRequest } from '@auburnpin/cluster'
import { FakeLink, FakeTableStore } from '@auburnpin/fakes'
import type { VmEntry } from '@auburnpin/ports'
import { MemoryTable } from '@auburnpin/stand-in'
import type { ActionPorts, ActionRequest } from '../src/index.ts'
import { ApplyNoteAction } from '../src/actions/ApplyNoteAction.ts'
import { SubmitJobAction } from '../src/actions/SubmitJobAction.ts'

const CELLS = ['burton-0', 'derby-0'].map(name => brand<CellId>(name))
const OWNER = brand<MemberId>('entry-1')
const JOB = { team: 'desk', command: 'work 1', resources: { processors: 1, memoryMb: 100 } }

/** Ports of a member in `derby` of which the given cells are open; `sent` records the requests to owners. */
class Region {
  readonly clock = new VirtualClock()
  readonly #random = new SeededRandom(5)
  readonly sent: PeerRequest[] = []
  open: readonly CellId[] = CELLS
  vms: Result<ReadonlyArray<Partial<VmEntry>>, AuburnpinError> = Ok([])

  readonly ports = {
    clock: this.clock,
    random: this.#random,
    table: new FakeTableStore(new MemoryTable(), new FakeLink(this.clock), 'entry-1'),
    cells: CELLS,
    openCells: () => this.open,
    vmList: { read: async () => this.vms },
    membership: { live: [{ member: OWNER, dataCentre: 'derby' }] },
    configuration: { current: { teams: { desk: {} } } },
    directory: { cells: new Map(CELLS.map(cell => [cell, { row: { cell, owner: OWNER } }])) },
    peers: {
      broadcast: () => {},
      request: async (_to: MemberId, request: PeerRequest) => {
        this.sent.push(request)
        return Ok({ kind: 'accepted' })
      }
    }
  } as unknown as ActionPorts

  async submit (key?: string): Promise<string> {
    const headers = key === undefined ? {} : { 'idempotency-key': key }
    const response = await new SubmitJobAction().run(this.ports, this.#request(JOB, headers))
    return (response.unwrap().body as { cell: string }).cell
  }

  evacuate (id: string, dataCentre: string) {
    return new ApplyNoteAction().run(this.ports, this.#request({ id, added: { evacuations: { [dataCentre]: { reason: 'power works' } } } }))
  }

  #request (body: unknown, headers: ActionRequest['headers'] = {}): ActionRequest {
    return { operator: 'tester', id: '', query: new URLSearchParams(), headers, body }
  }
}

test('new jobs go to the cells of other data centres, and stay where they would be while every data centre is evacuated', async t => {
  const region = new Region()
  region.open = CELLS.slice(1)
  for (let job = 0; job < 20; job++) t.is(await region.submit(), 'derby-0')
  region.open = []
  const cells = new Set<string>()
  for (let job = 0; job < 20; job++) cells.add(await region.submit())
  t.is(cells.size, 2)
})

test('a job with an idempotency key stays in its cell, so that sending it again after an evacuation doesn\'t run it twice', async t => {
  const region = new Region()
  const before: string[] = []
  const after: string[] = []
  for (let job = 0; job < 20; job++) before.push(await region.submit(`key-${job}`))
  region.open = CELLS.slice(1)
  for (let job = 0; job < 20; job++) after.push(await region.submit(`key-${job}`))
  t.deepEqual(after, before)
  t.true(before.includes('burton-0'))
})

test('a data centre without members and VMs is refused; one with a member or a VM is not', async t => {
  const region = new Region()
  t.like((await region.evacuate('typo', 'derbi')).val, { kind: 'invalid-request' })
  t.is((await region.evacuate('with-member', 'derby')).unwrap().status, 201)
  t.like((await region.evacuate('early', 'burton')).val, { kind: 'invalid-request' })
  region.vms = Ok([{ dataCentre: brand<DataCentre>('burton') }])
  t.is((await region.evacuate('with-vm', 'burton')).unwrap().status, 201)
})

test('the VM list is unavailable: a data centre without members is neither accepted nor called unknown', async t => {
  const region = new Region()
  region.vms = Err(new AuburnpinError('unreachable', 'The VM list is unavailable', 'Wait.'))
  t.like((await region.evacuate('close', 'burton')).val, { kind: 'unreachable' })
  t.is((await region.evacuate('close', 'derby')).unwrap().status, 201)
})

test('a note that was accepted is not refused when it is sent again after the last VM of its data centre has gone', async t => {
  const region = new Region()
  region.vms = Ok([{ dataCentre: brand<DataCentre>('burton') }])
  t.is((await region.evacuate('close', 'burton')).unwrap().status, 201)
  region.vms = Ok([])
  t.is((await region.evacuate('close', 'burton')).unwrap().status, 200)
})
