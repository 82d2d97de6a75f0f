/**
 * A bounded queue of lines for an output that may be slow.
 */

/** A stream with backpressure. */
export abstract class LineOutput {
  /** Writes text; `false` if the caller should wait for the drain event before it writes more. */
  abstract write (text: string): boolean
  /** Runs an action once, at the next drain event. */
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

/** Maximum number of queued lines; holds some seconds of output under load. */
const MAX_QUEUED_LINES = 500

/**
 * Writes lines without blocking the caller: while the output is slow, lines beyond the bound are dropped and counted.
 *
 * @example
 * const queue = new LineQueue(new StandardOutput())
 * queue.add('{"message":"started"}')
 */
export class LineQueue {
  readonly #output: LineOutput
  #lines: string[] = []
  #isBlocked = false
  #isScheduled = false
  #dropped = 0

  constructor (output: LineOutput) {
    this.#output = output
  }

  /** Returns the number of lines dropped since the last call and resets it. */
  takeDropped (): number {
    const dropped = this.#dropped
    this.#dropped = 0
    return dropped
  }

  /** Queues a line without its line break; `false` if it was dropped. */
  add (line: string): boolean {
    if (this.#lines.length >= MAX_QUEUED_LINES) {
      this.#dropped++
      return false
    }
    this.#lines.push(line)
    if (!this.#isBlocked && !this.#isScheduled) {
      this.#isScheduled = true
      setImmediate(() => this.#flush())
    }
    return true
  }

  #flush (): void {
    this.#isScheduled = false
    if (this.#isBlocked || this.#lines.length === 0) return
    const text = `${this.#lines.join('\n')}\n`
    this.#lines = []
    if (this.#output.write(text)) return
    this.#isBlocked = true
    this.#output.onDrain(() => {
      this.#isBlocked = false
      this.#flush()
    })
  }
}
