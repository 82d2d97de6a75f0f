/**
 * A duplex byte stream between two members; many streams are multiplexed over one peer connection.
 */
import { Duplex } from 'node:stream'
import { PEER_STREAM_WINDOW_BYTES } from './constants.ts'

/** One part of a stream, in one direction. The stream's users define the content of `head`. */
export type StreamPart =
  | Readonly<{ kind: 'open', head: unknown }>
  | Readonly<{ kind: 'head', head: unknown }>
  | Readonly<{ kind: 'data', chunk: Uint8Array }>
  | Readonly<{ kind: 'credit', bytes: number }>
  | Readonly<{ kind: 'end' }>
  | Readonly<{ kind: 'reset', reason: string }>
  /** Confirms that the other side's `end` was received; no part follows. */
  | Readonly<{ kind: 'done' }>

type WriteCallback = (error?: Error | null) => void

/**
 * Flow control by credit limits what is sent ahead of the reader. Parts are numbered: a duplicate is dropped and a gap
 * destroys the stream, so a stream that ends without an error is complete.
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
  #unsentCredit = 0
  #blockedWrite: WriteCallback | undefined
  #hasPeerEnded = false
  #onHead: (head: unknown) => void = () => {}

  constructor (send: (sequence: number, part: StreamPart) => void) {
    super({ emitClose: true })
    this.#send = send
  }

  /** Calls `listener` with each head that is received. */
  onHead (listener: (head: unknown) => void): void {
    this.#onHead = listener
  }

  /** Sends a head; its order relative to the bytes is kept. */
  sendHead (head: unknown): void {
    this.#sendPart({ kind: 'head', head })
  }

  /** Opens the stream on the other side. */
  open (head: unknown): void {
    this.#sendPart({ kind: 'open', head })
  }

  /** Handles one part received from the connection. */
  receive (sequence: number, part: StreamPart): void {
    if (sequence < this.#receivedParts || this.destroyed) return
    if (sequence > this.#receivedParts) {
      this.destroy(new Error('A part of the stream was lost'))
      return
    }
    this.#receivedParts++
    this.#handlePart(part)
  }

  override _read (): void {
    if (this.#unsentCredit < PEER_STREAM_WINDOW_BYTES / 4) return
    this.#sendPart({ kind: 'credit', bytes: this.#unsentCredit })
    this.#unsentCredit = 0
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, acknowledge: WriteCallback): void {
    this.#sendPart({ kind: 'data', chunk })
    this.#credit -= chunk.length
    if (this.#credit > 0) acknowledge()
    else this.#blockedWrite = acknowledge
  }

  override _final (acknowledge: WriteCallback): void {
    this.#sendPart({ kind: 'end' })
    acknowledge()
  }

  override _destroy (error: Error | null, acknowledge: WriteCallback): void {
    const isDone = this.#hasPeerEnded && this.writableFinished
    this.#sendPart(isDone ? { kind: 'done' } : { kind: 'reset', reason: error?.message ?? 'The stream was aborted' })
    acknowledge(error)
  }

  #handlePart (part: StreamPart): void {
    if (part.kind === 'head') {
      this.#onHead(part.head)
    } else if (part.kind === 'data') {
      this.#unsentCredit += part.chunk.length
      this.push(Buffer.from(part.chunk))
    } else if (part.kind === 'credit') {
      this.#addCredit(part.bytes)
    } else if (part.kind === 'end') {
      this.#hasPeerEnded = true
      this.push(null)
    } else if (part.kind === 'reset') {
      this.destroy(new Error(part.reason))
    }
  }

  #addCredit (bytes: number): void {
    this.#credit += bytes
    const blocked = this.#blockedWrite
    if (this.#credit <= 0 || blocked === undefined) return
    this.#blockedWrite = undefined
    blocked()
  }

  #sendPart (part: StreamPart): void {
    this.#send(this.#sentParts++, part)
  }
}
