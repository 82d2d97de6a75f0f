/**
 * The streams that one peer link carries.
 */
import { PeerStream, type StreamPart } from './PeerStream.ts'

/** One part of one stream on the wire. */
export type StreamFrame = Readonly<{ kind: 'stream', id: number, sequence: number, part: StreamPart }>

/** Takes in a stream that the other side has opened; `confirmed` resolves once that side has all of the answer, or none is owed. */
export type OpenHandler = (head: unknown, stream: PeerStream, confirmed: Promise<void>) => void

/** Gives each part to its own stream. Only the side that dialled the link opens streams. */
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

  /** Takes in a part; what belongs to no open stream came too late and is dropped. */
  receive ({ id, sequence, part }: StreamFrame): void {
    if (part.kind === 'done' || part.kind === 'reset') this.#confirm(id)
    const stream = this.#streams.get(id) ?? this.#accept(id, part)
    stream?.receive(sequence, part)
  }

  /** Breaks all streams, because the link is gone. */
  close (): void {
    this.#isClosed = true
    for (const stream of this.#streams.values()) stream.destroy(new Error('The link to the member was lost'))
    for (const id of [...this.#unconfirmed.keys()]) this.#confirm(id)
  }

  // Ids only rise, so a repeated opening can not run a request a second time.
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
