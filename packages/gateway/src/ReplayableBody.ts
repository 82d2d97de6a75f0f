/**
 * A request body that can be sent again as long as it is small.
 */
import { finished, type Readable, type Writable } from 'node:stream'
import { MAX_REPLAY_BYTES } from './constants.ts'

/** Sends a body to one sink at a time, with back-pressure from the sink. */
export class ReplayableBody {
  readonly #source: Readable
  readonly #maxBytes: number
  readonly #replayChunks: Buffer[] = []
  #size = 0
  #isReplayable = true
  #isEnded = false
  #hasFailed = false
  #sink: Writable | undefined
  #isListening = false
  #onFailure: (isTooLarge: boolean) => void = () => {}

  constructor (source: Readable, maxBytes: number) {
    this.#source = source
    this.#maxBytes = maxBytes
    finished(source, { writable: false }, error => {
      if (error != null && !this.#isEnded) this.#fail(false)
    })
  }

  /** Whether everything read so far can be sent again. */
  get isReplayable (): boolean {
    return this.#isReplayable && !this.#hasFailed
  }

  /** Whether the body was cut short or exceeded its size limit. */
  get hasFailed (): boolean {
    return this.#hasFailed
  }

  /** Calls `listener` when the body is cut short or exceeds its size limit; replaces the earlier listener. */
  onFailure (listener: (isTooLarge: boolean) => void): void {
    this.#onFailure = listener
  }

  /** Sends the body from its start. Only allowed while `isReplayable`. */
  sendTo (sink: Writable): void {
    this.#sink = sink
    for (const chunk of this.#replayChunks) sink.write(chunk)
    if (this.#isEnded) {
      sink.end()
      return
    }
    sink.on('drain', () => { if (this.#sink === sink) this.#source.resume() })
    this.#listen()
    this.#source.resume()
  }

  /** Stops sending to the current sink. */
  detach (): void {
    this.#sink = undefined
    if (!this.#isEnded) this.#source.pause()
  }

  /** Reads and drops the rest, so that the caller's connection can be reused. */
  discard (): void {
    this.#sink = undefined
    this.#isReplayable = false
    this.#source.resume()
  }

  #listen (): void {
    if (this.#isListening) return
    this.#isListening = true
    this.#source.on('data', (chunk: Buffer) => this.#receive(chunk))
    this.#source.on('end', () => {
      this.#isEnded = true
      this.#sink?.end()
    })
  }

  #receive (chunk: Buffer): void {
    this.#size += chunk.length
    if (this.#size > this.#maxBytes) {
      this.#fail(true)
      return
    }
    if (this.#size > MAX_REPLAY_BYTES) {
      this.#isReplayable = false
      this.#replayChunks.length = 0
    } else {
      this.#replayChunks.push(chunk)
    }
    if (this.#sink?.write(chunk) === false) this.#source.pause()
  }

  #fail (isTooLarge: boolean): void {
    if (this.#hasFailed) return
    this.#hasFailed = true
    this.#sink = undefined
    this.#onFailure(isTooLarge)
  }
}
