/**
 * A request's body, of which the beginning can be sent again.
 */
import { finished, type Readable, type Writable } from 'node:stream'
import { REPLAY_BYTES } from './constants.ts'

/** Sends a body to one sink at a time, at the pace of the sink. */
export class ReplayBody {
  readonly #source: Readable
  readonly #maxBytes: number
  readonly #kept: Buffer[] = []
  #size = 0
  #isReplayable = true
  #isEnded = false
  #isBroken = false
  #sink: Writable | undefined
  #isListening = false
  #onBroken: (isTooLarge: boolean) => void = () => {}

  constructor (source: Readable, maxBytes: number) {
    this.#source = source
    this.#maxBytes = maxBytes
    finished(source, { writable: false }, error => {
      if (error != null && !this.#isEnded) this.#break(false)
    })
  }

  /** Whether all that was read so far can be sent again. */
  get isReplayable (): boolean {
    return this.#isReplayable && !this.#isBroken
  }

  /** Whether the body broke off or grew too large. */
  get isBroken (): boolean {
    return this.#isBroken
  }

  /** Calls `listener` when the body breaks off or is too large. */
  onBroken (listener: (isTooLarge: boolean) => void): void {
    this.#onBroken = listener
  }

  /** Sends the body from its beginning. Only allowed while `isReplayable`. */
  sendTo (sink: Writable): void {
    this.#sink = sink
    for (const chunk of this.#kept) sink.write(chunk)
    if (this.#isEnded) {
      sink.end()
      return
    }
    sink.on('drain', () => { if (this.#sink === sink) this.#source.resume() })
    this.#listen()
    this.#source.resume()
  }

  /** Stops sending to the present sink. */
  detach (): void {
    this.#sink = undefined
    if (!this.#isEnded) this.#source.pause()
  }

  /** Reads the rest and drops it, so that the caller's connection can be used again. */
  discard (): void {
    this.#sink = undefined
    this.#isReplayable = false
    this.#source.resume()
  }

  #listen (): void {
    if (this.#isListening) return
    this.#isListening = true
    this.#source.on('data', (chunk: Buffer) => this.#take(chunk))
    this.#source.on('end', () => {
      this.#isEnded = true
      this.#sink?.end()
    })
  }

  #take (chunk: Buffer): void {
    this.#size += chunk.length
    if (this.#size > this.#maxBytes) {
      this.#break(true)
      return
    }
    if (this.#size > REPLAY_BYTES) {
      this.#isReplayable = false
      this.#kept.length = 0
    } else {
      this.#kept.push(chunk)
    }
    if (this.#sink?.write(chunk) === false) this.#source.pause()
  }

  #break (isTooLarge: boolean): void {
    if (this.#isBroken) return
    this.#isBroken = true
    this.#sink = undefined
    this.#onBroken(isTooLarge)
  }
}
