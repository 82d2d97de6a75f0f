import test from 'ava'
import { VirtualClock } from '@auburnpin/common'
import { JsonLog, LineOutput, LineQueue, traceJob } from '../src/index.ts'

class SlowOutput extends LineOutput {
  readonly texts: string[] = []
  isAccepting = true
  #onDrained: (() => void) | undefined

  write (text: string): boolean {
    this.texts.push(text)
    return this.isAccepting
  }

  onDrain (action: () => void): void {
    this.#onDrained = action
  }

  drain (): void {
    this.isAccepting = true
    this.#onDrained?.()
  }

  get lines (): string[] {
    return this.texts.join('').split('\n').filter(line => line !== '')
  }
}

const nextTick = (): Promise<void> => new Promise(resolve => { setImmediate(resolve) })

test('a blocked output never blocks the caller; lines beyond the bound are dropped and counted', async t => {
  const output = new SlowOutput()
  output.isAccepting = false
  const queue = new LineQueue(output)
  queue.add('first')
  await nextTick()
  let dropped = 0
  for (let index = 0; index < 600; index++) if (!queue.add(`line ${index}`)) dropped++
  t.is(dropped, 100)
  t.is(queue.takeDropped(), 100)
  t.deepEqual(output.lines, ['first'])
  output.drain()
  t.is(output.lines.length, 501)
})

test('records of one message are rate-limited, and the next record states how many were suppressed', async t => {
  const output = new SlowOutput()
  const clock = new VirtualClock()
  const log = new JsonLog(new LineQueue(output), clock, 'info', 'jobs')
  for (let index = 0; index < 250; index++) log.info('Run ended', { index })
  log.info('Term claimed')
  await clock.advance(1_000)
  log.info('Run ended', { index: 250 })
  await nextTick()
  const records = output.lines.map(line => JSON.parse(line) as { message: string, leftOutBefore?: number })
  t.is(records.filter(({ message }) => message === 'Run ended').length, 201)
  t.is(records.at(-1)?.leftOutBefore, 50)
  t.is(log.suppressed, 50)
  t.true(records.some(({ message }) => message === 'Term claimed'))
})

test('the timeline of a job merges several logs in order of time and includes records about the owner\'s term', t => {
  const id = '5c0e7a21d94b36f8'
  const first = [
    JSON.stringify({ at: '2026-01-01T00:00:01.000Z', level: 'info', component: 'jobs', message: 'Job submitted', job: id, outcome: 'stored' }),
    'not a record', JSON.stringify({ at: '2026-01-01T00:00:09.000Z', message: 'Job submitted', job: 'other' })
  ].join('\n')
  const second = [
    `  3.5 edge-2 ${JSON.stringify({ at: '2026-01-01T00:00:03.000Z', level: 'info', component: 'jobs', message: 'Term claimed', epoch: 2 })}`,
    `  9.9 edge-2 ${JSON.stringify({ at: '2026-01-01T00:00:09.900Z', level: 'info', component: 'jobs', message: 'Term released', epoch: 2 })}`,
    `  3.6 edge-2 ${JSON.stringify({ at: '2026-01-01T00:00:04.000Z', level: 'info', component: 'jobs', message: 'Job changed', job: id, phase: 'completed' })}`,
    `  3.4 edge-2 ${JSON.stringify({ at: '2026-01-01T00:00:02.000Z', level: 'info', component: 'jobs', message: 'Run ended', task: `${id}.0.0.1`, how: 'done' })}`
  ].join('\n')
  const records = traceJob([{ name: 'a.log', text: first }, { name: 'b.log', text: second }], id)
  t.deepEqual(records.map(({ source, message }) => [source, message]), [['a.log', 'Job submitted'], ['edge-2', 'Run ended'], ['edge-2', 'Term claimed'], ['edge-2', 'Job changed']])
  t.is(records[1]?.details, `task=${id}.0.0.1 how=done`)
})
