/**
 * Control bytes per second between an owner and one worker, as a function of the number of tasks on the worker.
 * Prints one JSON line per size.
 */
import { brand, SilentLog, SystemClock, SystemRandom, type CellId, type DataCentre, type Epoch, type RackId, type VmId } from '@auburnpin/common'
import { HttpClient, HttpWorkers } from '@auburnpin/ports'
import { WorkerLink } from '@auburnpin/scheduler'
import { StandInWorker } from '@auburnpin/stand-in'
import { CountingProxy } from './CountingProxy.ts'

const TASK_COUNTS = [0, 10, 22, 50, 100]
const RESOURCES = { processors: 64, memoryMb: 256_000, accelerators: 0 }
const WARM_UP_MS = 4_000
const MEASURED_MS = 20_000
const SESSION = 'colombo-0.1.abcdefghijkl.vm-1'
const EPOCH = 1

const measure = async (tasks: number): Promise<object> => {
  const worker = new StandInWorker(RESOURCES)
  const proxy = new CountingProxy(await worker.listen())
  const address = await proxy.listen()
  worker.state.lease({ session: SESSION, epoch: EPOCH, ttlMs: MEASURED_MS * 2, isNew: true })
  for (let index = 0; index < tasks; index++) {
    worker.state.start({ id: `job-0123456789abcdef0123${index}`, attempt: 1, leaseSession: SESSION, epoch: EPOCH, resources: { processors: 0.1, memoryMb: 10, accelerators: 0 }, command: 'watch' })
  }
  const client = new HttpClient(4)
  const vm = { id: brand<VmId>('vm-1'), dataCentre: brand<DataCentre>('colombo'), rack: brand<RackId>('r1'), address, resources: RESOURCES, isLeaving: false }
  const owner = new WorkerLink(vm, { cell: brand<CellId>('colombo-0'), epoch: brand<Epoch>(EPOCH) }, new HttpWorkers(client).at(address), new SystemClock(), new SystemRandom(), new SilentLog(), { post: () => {}, record: () => Promise.resolve(true), onFenced: () => {}, isListed: () => true })
  owner.start()
  await new Promise(resolve => setTimeout(resolve, WARM_UP_MS))
  const before = proxy.bytes
  await new Promise(resolve => setTimeout(resolve, MEASURED_MS))
  const bytesPerSecond = Math.round((proxy.bytes - before) / (MEASURED_MS / 1_000))
  await owner.stop()
  client.close()
  proxy.close()
  await worker.close()
  return { bench: 'workerControl', tasks, bytesPerSecond }
}

const results = await Promise.all(TASK_COUNTS.map(measure))
for (const result of results) process.stdout.write(`${JSON.stringify(result)}\n`)
process.exit(0)
