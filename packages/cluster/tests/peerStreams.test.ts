import { once } from 'node:events'
import test from 'ava'
import fc from 'fast-check'
import { PEER_STREAM_WINDOW_BYTES, PeerStreams, type PeerStream, type StreamFrame } from '../src/index.ts'

/** Two sides of a connection; the test delivers their frames. */
class Wire {
  readonly toAcceptor: StreamFrame[] = []
  readonly toOpener: StreamFrame[] = []
  readonly accepted: PeerStream[] = []
  readonly opener = new PeerStreams(frame => this.toAcceptor.push(frame), () => {})
  confirmed = 0
  readonly acceptor = new PeerStreams(frame => this.toOpener.push(frame), (_head, stream, confirmed) => {
    stream.on('error', () => {})
    void confirmed.then(() => { this.confirmed++ })
    this.accepted.push(stream)
  })

  /** Delivers all frames, and those that are sent in response. */
  async settle (): Promise<void> {
    for (let turn = 0; turn < 20; turn++) {
      for (const frame of this.toAcceptor.splice(0)) this.acceptor.receive(frame)
      for (const frame of this.toOpener.splice(0)) this.opener.receive(frame)
      await new Promise(resolve => setImmediate(resolve))
    }
  }
}

const readAll = async (stream: PeerStream): Promise<string> => {
  let text = ''
  for await (const chunk of stream) text += (chunk as Buffer).toString()
  return text
}

test('frames of many streams, interleaved, duplicated and late, reach only their own stream', async t => {
  await fc.assert(fc.asyncProperty(fc.array(fc.nat(2), { minLength: 10, maxLength: 60 }), async picks => {
    const wire = new Wire()
    const streams = [0, 1, 2].map(index => wire.opener.open({ index }))
    for (const [index, stream] of streams.entries()) {
      for (let part = 0; part < 5; part++) stream.write(`${index}${part} `)
      stream.end()
    }
    await new Promise(resolve => setImmediate(resolve))
    const frames = wire.toAcceptor.splice(0)
    const queues = streams.map((_, index) => frames.filter(frame => frame.id === index + 1))
    // The `open` parts arrive in order; `picks` decides how the rest is interleaved, and each frame arrives twice.
    for (const queue of queues) wire.acceptor.receive(queue.shift() as StreamFrame)
    for (const pick of [...picks, ...Array.from({ length: 30 }, (_, index) => index % 3)]) {
      const frame = queues[pick]?.shift()
      if (frame === undefined) continue
      wire.acceptor.receive(frame)
      wire.acceptor.receive(frame)
    }
    const texts = await Promise.all(wire.accepted.map(readAll))
    return texts.every((text, index) => text === `${index}0 ${index}1 ${index}2 ${index}3 ${index}4 `)
  }), { seed: 11, numRuns: 50 })
  t.pass()
})

test('a missing frame destroys the stream, so that it never ends as if it were complete', async t => {
  const wire = new Wire()
  const stream = wire.opener.open({})
  for (const part of ['a', 'b', 'c']) stream.write(part)
  stream.end()
  await new Promise(resolve => setImmediate(resolve))
  const frames = wire.toAcceptor.splice(0)
  for (const [index, frame] of frames.entries()) {
    if (index !== 2) wire.acceptor.receive(frame)
  }
  await t.throwsAsync(readAll(wire.accepted[0] as PeerStream))
})

test('a duplicate open part starts no second stream, not even after the stream has ended', async t => {
  const wire = new Wire()
  wire.opener.open({}).end()
  await new Promise(resolve => setImmediate(resolve))
  const [opening] = wire.toAcceptor
  await wire.settle()
  wire.accepted[0]?.resume().end()
  await wire.settle()
  wire.acceptor.receive(opening as StreamFrame)
  t.is(wire.accepted.length, 1)
})

test('a response that arrives after its stream was aborted is dropped', async t => {
  const wire = new Wire()
  const first = wire.opener.open({})
  await wire.settle()
  first.destroy()
  const second = wire.opener.open({})
  const heads: unknown[] = []
  second.onHead(head => heads.push(head))
  wire.accepted[0]?.sendHead('late')
  await wire.settle()
  wire.accepted[1]?.sendHead('own')
  await wire.settle()
  t.deepEqual(heads, ['own'])
})

test('a sender is blocked while its reader does not read', async t => {
  const wire = new Wire()
  const stream = wire.opener.open({})
  const block = Buffer.alloc(64 * 1024)
  const blocks = 4 * PEER_STREAM_WINDOW_BYTES / block.length
  for (let count = 0; count < blocks; count++) stream.write(block)
  stream.end()
  await wire.settle()
  const [accepted] = wire.accepted as [PeerStream]
  t.true(accepted.readableLength <= PEER_STREAM_WINDOW_BYTES)
  let received = 0
  accepted.on('data', (chunk: Buffer) => { received += chunk.length })
  const ended = once(accepted, 'end')
  await wire.settle()
  await ended
  t.is(received, blocks * block.length)
})

test('a lost connection destroys the streams on both sides', async t => {
  const wire = new Wire()
  const stream = wire.opener.open({})
  await wire.settle()
  const reading = [readAll(stream), readAll(wire.accepted[0] as PeerStream)]
  wire.opener.close()
  wire.acceptor.close()
  for (const each of reading) await t.throwsAsync(each)
})

test('a response is confirmed once the other side has read all of it, or has aborted the stream', async t => {
  const wire = new Wire()
  const [read, aborted] = [wire.opener.open({}), wire.opener.open({})]
  for (const stream of [read, aborted]) stream.end()
  await wire.settle()
  for (const stream of wire.accepted) stream.resume().end('answer')
  await wire.settle()
  t.is(wire.confirmed, 0)
  read.resume()
  await wire.settle()
  t.is(wire.confirmed, 1)
  aborted.destroy()
  await wire.settle()
  t.is(wire.confirmed, 2)
})
