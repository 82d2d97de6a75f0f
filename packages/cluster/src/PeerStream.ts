/**
 * A two-way stream of bytes between two members, over a peer link that carries many.
 */
import { Duplex } from 'node:stream'
import { PEER_STREAM_WINDOW_BYTES } from './constants.ts'

/** One part of a stream, in one direction. `head` is what the streams' users agree on. */
export type StreamPart =
  | Readonly<{ kind: 'open', head: unknown }>
  | Readonly<{ kind: 'head', head: unknown }>
  | Readonly<{ kind: 'data', chunk: Uint8Array }>
  | Readonly<{ kind: 'credit', bytes: number }>
  | Readonly<{ kind: 'end' }>
  | Readonly<{ kind: 'reset', reason: string }>
  /** The other side's last part has come; nothing more is sent. */
  | Readonly<{ kind: 'done' }>

type Acknowledge = (error?: Error | null) => void

/**
 * Sends no more than the other side has room for. Parts are numbered: a repeated one is dropped, a missing one breaks
 * the stream, so what ends as whole is whole.
 *
 * @example
 * const opened = peers.openStream(member, head)
 * if (opened.ok) source.pipe(opened.val)
 */
export class PeerStream extends Duplex {
  readonly #send: (sequence: number, part: StreamPart) => void
  #sentParts = 0
  #receivedParts = 0
  #credit = PEER_STREAM_WINDOW_BYTES
  #owedCredit = 0
  #held: Acknowledge | undefined
  #isPeerDone = false
  #onHead: (head: unknown) => void = () => {}

  constructor (send: (sequence: number, part: StreamPart) => void) {
    super({ emitClose: true })
    this.#send = send
  }

  /** Calls `listener` with each head that the other side sends. */
  onHead (listener: (head: unknown) => void): void {
    this.#onHead = listener
  }

  /** Sends a head, in order with the bytes. */
  sendHead (head: unknown): void {
    this.#sendPart({ kind: 'head', head })
  }

  /** Opens the stream at the other side. */
  open (head: unknown): void {
    this.#sendPart({ kind: 'open', head })
  }

  /** Takes in one part from the link. */
  receive (sequence: number, part: StreamPart): void {
    if (sequence < this.#receivedParts || this.destroyed) return
    if (sequence > this.#receivedParts) {
      this.destroy(new Error('A part of the stream is missing'))
      return
    }
    this.#receivedParts++
    this.#take(part)
  }

  override _read (): void {
    if (this.#owedCredit < PEER_STREAM_WINDOW_BYTES / 4) return
    this.#sendPart({ kind: 'credit', bytes: this.#owedCredit })
    this.#owedCredit = 0
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, acknowledge: Acknowledge): void {
    this.#sendPart({ kind: 'data', chunk })
    this.#credit -= chunk.length
    if (this.#credit > 0) acknowledge()
    else this.#held = acknowledge
  }

  override _final (acknowledge: Acknowledge): void {
    this.#sendPart({ kind: 'end' })
    acknowledge()
  }

  override _destroy (error: Error | null, acknowledge: Acknowledge): void {
    const isDone = this.#isPeerDone && this.writableFinished
    this.#sendPart(isDone ? { kind: 'done' } : { kind: 'reset', reason: error?.message ?? 'The stream was given up' })
    acknowledge(error)
  }

  #take (part: StreamPart): void {
    if (part.kind === 'head') {
      this.#onHead(part.head)
    } else if (part.kind === 'data') {
      this.#owedCredit += part.chunk.length
      this.push(Buffer.from(part.chunk))
    } else if (part.kind === 'credit') {
      this.#gainCredit(part.bytes)
    } else if (part.kind === 'end') {
      this.#isPeerDone = true
      this.push(null)
    } else if (part.kind === 'reset') {
      this.destroy(new Error(part.reason))
    }
  }

  #gainCredit (bytes: number): void {
    this.#credit += bytes
    const held = this.#held
    if (this.#credit <= 0 || held === undefined) return
    this.#held = undefined
    held()
  }

  #sendPart (part: StreamPart): void {
    this.#send(this.#sentParts++, part)
  }
}
