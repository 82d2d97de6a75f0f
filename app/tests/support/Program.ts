/**
 * Runs the command line as a child process, for tests.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const MAIN = fileURLToPath(new URL('../../src/main.ts', import.meta.url))
const TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 50

/** A child process and its output. */
export class Program {
  readonly #process: ChildProcess
  #output = ''
  #errors = ''

  constructor (...args: string[]) {
    this.#process = spawn(process.execPath, ['--import', 'tsx', MAIN, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#process.stdout?.on('data', (chunk: Buffer) => { this.#output += chunk.toString() })
    this.#process.stderr?.on('data', (chunk: Buffer) => { this.#errors += chunk.toString() })
  }

  get output (): string {
    return this.#output
  }

  get errors (): string {
    return this.#errors
  }

  signal (name: NodeJS.Signals): void {
    this.#process.kill(name)
  }

  /** Closes the reading end of standard output, as `head` does. */
  closeOutput (): void {
    this.#process.stdout?.destroy()
  }

  /** Resolves to the exit code once the process has exited. */
  exit (): Promise<number | null> {
    if (this.#process.exitCode !== null) return Promise.resolve(this.#process.exitCode)
    return new Promise(resolve => this.#process.once('exit', resolve))
  }

  /** Resolves to the pattern's first group once the output contains a match. */
  async find (pattern: RegExp): Promise<string> {
    let found = ''
    await until(() => {
      found = pattern.exec(this.#output + this.#errors)?.[1] ?? ''
      return found !== ''
    })
    return found
  }
}

/** Resolves once the condition holds; rejects if it doesn't within a minute. */
export const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + TIMEOUT_MS
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error('Timed out waiting for a condition')
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
