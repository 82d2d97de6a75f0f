import test from 'ava'
import { brand, type Attempt, type Instant, type ServiceName } from '@auburnpin/common'
import { jobOf, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { createRun, JobRecord, WorkerRecord } from '../src/index.ts'
import { ServiceCapacity } from '../src/jobs/ServiceCapacity.ts'

const NOW = brand<Instant>(0)

/** A worker with some thousandths of a core, of which a serving task reserves some. */
const workerOf = (id: string, processors: number, serving: number): WorkerRecord => {
  const worker = new WorkerRecord(workerEntryOf(id, { processors }), NOW, 1_000)
  const task = new JobRecord(jobOf('00000000000000a1', [stepOf({ processors: serving, latencyTargetMs: 100 })])).createOccurrence(0)[0]?.tasks[0]
  if (task === undefined) throw new Error('The job has no task')
  worker.addRun(createRun(task, brand<Attempt>(1), worker, 'running', NOW))
  return worker
}

test('a worker that has shrunk below what its serving tasks reserve takes nothing from the capacity of the others', t => {
  const capacity = new ServiceCapacity([workerOf('w1', 4_000, 12_000), workerOf('w2', 8_000, 3_000)])
  t.is(capacity.of(brand<ServiceName>('desk')), 5_000)
})

test('a service never has less than no capacity, so that none of its large jobs counts as one that could still be in time', t => {
  t.is(new ServiceCapacity([workerOf('w1', 4_000, 12_000)]).of(brand<ServiceName>('desk')), 0)
})
