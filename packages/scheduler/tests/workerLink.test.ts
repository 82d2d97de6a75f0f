import test from 'ava'
import { brand, Ok, SeededRandom, SilentLog, VirtualClock, type DataCentre, type Epoch, type RackId, type VmId } from '@auburnpin/common'
import type { CellEvent } from '@auburnpin/core'
import type { UsageSample, Worker, WorkerLease, WorkerReport } from '@auburnpin/ports'
import { WorkerLink } from '../src/WorkerLink.ts'
import { CELL, VM_CAPACITY } from './support/World.ts'

const HOUR_MS = 3_600_000
const VM = { id: brand<VmId>('vm-1'), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address: 'vm-1', resources: VM_CAPACITY, isLeaving: false }

/** A worker with one sample for each question, measured on a clock that may be wrong. */
class MeasuringWorker {
  aheadMs = 0
  state: Omit<WorkerReport, 'tasks'> = { session: null, epoch: brand<Epoch>(0) }
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  restart (): void {
    this.state = { session: null, epoch: brand<Epoch>(0) }
  }

  async report () {
    return Ok({ ...this.state, tasks: [] })
  }

  async lease (lease: WorkerLease) {
    this.state = { session: lease.session, epoch: lease.epoch }
    return Ok({ kind: 'done', value: lease })
  }

  async usage (since: number) {
    const sample: UsageSample = { measuredAt: this.#clock.wallTime() + this.aheadMs, tasks: [] }
    return Ok(sample.measuredAt > since ? [sample] : [])
  }
}

test('usage of a restarted worker counts, although its clock was ahead before', async t => {
  const clock = new VirtualClock()
  const worker = new MeasuringWorker(clock)
  const events: CellEvent[] = []
  const post = (event: CellEvent): void => { events.push(event) }
  const link = new WorkerLink(VM, { cell: CELL, epoch: brand<Epoch>(1) }, worker as unknown as Worker, clock, new SeededRandom(1), new SilentLog(), { post, record: async event => { post(event); return true }, onFenced: () => {}, isListed: () => true })
  worker.aheadMs = HOUR_MS
  link.start()
  await clock.advance(10_000)
  worker.restart()
  worker.aheadMs = 0
  events.length = 0
  await clock.advance(10_000)
  t.true(events.some(({ kind }) => kind === 'usage'))
  await link.stop()
})
