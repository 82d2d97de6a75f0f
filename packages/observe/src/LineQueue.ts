/**
 * Lines on their way to an output that may be slow.
 */

/** Where lines go. */
export abstract class LineOutput {
  /** Writes a text; `false` if the output wants no more until it calls `onDrain`. */
  abstract write (text: string): boolean
  abstract onDrain (action: () => void): void
}

/** The process's standard output. */
export class StandardOutput extends LineOutput {
  write (text: string): boolean {
    return process.stdout.write(text)
  }

  onDrain (action: () => void): void {
    process.stdout.once('drain', action)
  }
}

/** Most lines that wait for a slow reader; some seconds' worth under load. */
const MAX_WAITING_LINES = 500

/**
 * Never waits on the output: lines beyond the bound are dropped and counted.
 *
 * @example
 * const queue = new LineQueue(new StandardOutput())
 * queue.add('{"message":"started"}')
 */
export class LineQueue {
  readonly #output: LineOutput
  #waiting: string[] = []
  #isBlocked = false
  #isScheduled = false
  #dropped = 0

  constructor (output: LineOutput) {
    this.#output = output
  }

  /** Lines dropped since the last call. */
  takeDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  /** Adds a line without its end; `false` if it was dropped. */
  add (line: string): boolean {
    if (this.#waiting.length >= MAX_WAITING_LINES) {
      this.#dropped++
      return false
    }
    this.#waiting.push(line)
    if (!this.#isBlocked && !this.#isScheduled) {
      this.#isScheduled = true
      setImmediate(() => this.#flush())
    }
    return true
  }

  #flush (): void {
    this.#isScheduled = false
    if (this.#isBlocked || this.#waiting.length === 0) return
    const text = `${this.#waiting.join('\n')}\n`
    this.#waiting = []
    if (this.#output.write(text)) return
    this.#isBlocked = true
    this.#output.onDrain(() => {
      this.#isBlocked = false
      this.#flush()
    })
  }
}
