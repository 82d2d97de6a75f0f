import test from 'ava'
import { HttpClient, HttpWorker } from '../src/index.ts'
import { StandInWorker } from '@auburnpin/stand-in'

const RESOURCES = { processors: 4, memoryMb: 1_000, accelerators: 0 }
const start = (id: string) => ({ id, attempt: 1, leaseSession: 's', epoch: 1, resources: { processors: 1, memoryMb: 1, accelerators: 0 }, command: 'watch' })

test('an unchanged report is returned from the cache by its entity tag, a changed one is read in full', async t => {
  const worker = new StandInWorker(RESOURCES)
  const client = new HttpClient(1)
  const http = new HttpWorker(client, await worker.listen())
  t.teardown(async () => {
    client.close()
    await worker.close()
  })
  worker.state.lease({ session: 's', epoch: 1, ttlMs: 60_000, isNew: true })
  worker.state.start(start('first'))

  const full = (await http.report()).unwrap()
  const unchanged = (await http.report()).unwrap()
  t.is(unchanged, full)
  worker.state.start(start('second'))
  const changed = (await http.report()).unwrap()
  t.deepEqual(changed.tasks.map(task => String(task.id)), ['first', 'second'])
})
