/**
 * The streams that are multiplexed over one peer connection.
 */
import { PeerStream, type StreamPart } from './PeerStream.ts'

/** One part of one stream on the wire. */
export type StreamFrame = Readonly<{ kind: 'stream', id: number, sequence: number, part: StreamPart }>

/**
 * Handles a stream that the other side has opened. `confirmed` resolves once that side has read the whole response,
 * or the stream was aborted or the connection lost, so that no response is expected any more.
 */
export type OpenHandler = (head: unknown, stream: PeerStream, confirmed: Promise<void>) => void

/** Routes each part to its stream. Only the side that opened the connection opens streams. */
export class PeerStreams {
  readonly #send: (frame: StreamFrame) => void
  readonly #onOpen: OpenHandler
  readonly #streams = new Map<number, PeerStream>()
  readonly #unconfirmed = new Map<number, () => void>()
  #lastOpened = 0
  #isClosed = false

  constructor (send: (frame: StreamFrame) => void, onOpen: OpenHandler) {
    this.#send = send
    this.#onOpen = onOpen
  }

  /** Opens a stream. */
  open (head: unknown): PeerStream {
    const stream = this.#create(++this.#lastOpened)
    stream.open(head)
    return stream
  }

  /** Handles a received part; a part of a stream that is no longer open is late and is dropped. */
  receive ({ id, sequence, part }: StreamFrame): void {
    if (part.kind === 'done' || part.kind === 'reset') this.#confirm(id)
    const stream = this.#streams.get(id) ?? this.#accept(id, part)
    stream?.receive(sequence, part)
  }

  /** Destroys all streams after the connection was lost. */
  close (): void {
    this.#isClosed = true
    for (const stream of this.#streams.values()) stream.destroy(new Error('The connection to the member was lost'))
    for (const id of [...this.#unconfirmed.keys()]) this.#confirm(id)
  }

  // Stream ids only increase, so a duplicate `open` part can't run a request twice.
  #accept (id: number, part: StreamPart): PeerStream | undefined {
    if (part.kind !== 'open' || id <= this.#lastOpened) return undefined
    this.#lastOpened = id
    const stream = this.#create(id)
    const confirmed = new Promise<void>(resolve => { this.#unconfirmed.set(id, resolve) })
    this.#onOpen(part.head, stream, confirmed)
    return stream
  }

  #confirm (id: number): void {
    this.#unconfirmed.get(id)?.()
    this.#unconfirmed.delete(id)
  }

  #create (id: number): PeerStream {
    const stream = new PeerStream((sequence, part) => {
      if (!this.#isClosed) this.#send({ kind: 'stream', id, sequence, part })
    })
    this.#streams.set(id, stream)
    stream.on('error', () => {})
    stream.on('close', () => { this.#streams.delete(id) })
    return stream
  }
}
