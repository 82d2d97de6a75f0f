/**
 * The program as a process of its own, for tests.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const MAIN = fileURLToPath(new URL('../../src/main.ts', import.meta.url))
const PATIENCE_MS = 60_000
const LOOK_MS = 50

/** One running process and what it has printed. */
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

  /** Reads no more, as `head` does. */
  closeOutput (): void {
    this.#process.stdout?.destroy()
  }

  /** Resolves to the exit code once the process has ended. */
  exit (): Promise<number | null> {
    if (this.#process.exitCode !== null) return Promise.resolve(this.#process.exitCode)
    return new Promise(resolve => this.#process.once('exit', resolve))
  }

  /** Resolves to the first group once the pattern shows up in what was printed. */
  async find (pattern: RegExp): Promise<string> {
    let found = ''
    await until(() => {
      found = pattern.exec(this.#output + this.#errors)?.[1] ?? ''
      return found !== ''
    })
    return found
  }
}

/** Resolves once the condition holds; rejects when it does not in a minute. */
export const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + PATIENCE_MS
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error('The awaited state did not come')
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}
