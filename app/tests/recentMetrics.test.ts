import test from 'ava'
import { VirtualClock } from '@auburnpin/common'
import { BUCKET_MS, RecentMetrics } from '../src/metrics/RecentMetrics.ts'

test('recent metrics cover the current and the previous bucket, and older ones are dropped', async t => {
  const clock = new VirtualClock()
  const recent = new RecentMetrics(clock)
  for (let index = 1; index <= 100; index++) recent.timing('requests.duration', index, { service: 'stockline' })
  recent.count('requests.answered', 100, { service: 'stockline' })
  recent.count('tasks.evicted', 2, { reason: 'vm-leaving' })
  await clock.advance(BUCKET_MS)
  recent.count('tasks.finished', 3)

  const figures = recent.read(0)
  t.like(figures, { windowMs: BUCKET_MS, tasksFinished: 3, evictions: [{ reason: 'vm-leaving', count: 2 }] })
  t.like(figures.services[0], { service: 'stockline', answered: 100, refused: 0, p50Ms: 50, p99Ms: 99 })

  await clock.advance(BUCKET_MS)
  t.like(recent.read(1), { services: [], tasksFinished: 3, evictions: [], invariantsBroken: 1 })

  await clock.advance(2 * BUCKET_MS)
  t.like(recent.read(0), { windowMs: 0, tasksFinished: 0 })
})
