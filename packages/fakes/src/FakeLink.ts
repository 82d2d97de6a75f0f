/**
 * What a fake does to one call: answer it, delay it, or lose its way there or back.
 */
import { AuburnpinError, Err, type Clock, type Result } from '@auburnpin/common'

/** The fate of one call. */
export type Fate = Readonly<{
  /** Time before the call arrives, in milliseconds. */
  thereMs: number
  /** Time before the answer arrives, in milliseconds. */
  backMs: number
  /** `late`: the caller gives up, and the call still arrives after `thereMs`. */
  loss: 'none' | 'there' | 'back' | 'refused' | 'late'
}>

/** A call that arrives and is answered at once. */
export const PROMPT: Fate = { thereMs: 0, backMs: 0, loss: 'none' }

/** Decides the fate of each call by who calls whom and for what. */
export type FateChooser = (from: string, to: string, operation: string) => Fate

/** Resolves once the named process runs; a paused process neither handles calls nor sees answers. */
export type ProcessGate = (process: string) => Promise<void> | undefined

/** How long a lost answer is waited for, in milliseconds. */
const TIMEOUT_MS = 2_000

/** Carries calls from one side to the other under the fates that the chooser deals out. */
export class FakeLink {
  readonly #clock: Clock
  #choose: FateChooser = () => PROMPT
  #gate: ProcessGate | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Replaces the chooser of fates. */
  setFates (choose: FateChooser): void {
    this.#choose = choose
  }

  /** Sets the gate that holds calls to and answers for paused processes. */
  setGate (gate: ProcessGate): void {
    this.#gate = gate
  }

  /** Runs `effect` at the other side unless the call is lost on the way there. */
  async carry<Value> (from: string, to: string, operation: string, effect: () => Result<Value, AuburnpinError> | Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    const fate = this.#choose(from, to, operation)
    if (fate.loss === 'refused') return Err(new AuburnpinError('unreachable', `${to} refused ${operation}`, 'Try again.'))
    if (fate.loss === 'late') {
      this.#clock.after(fate.thereMs, () => { void effect() })
      return await this.#lose(to, operation)
    }
    if (fate.thereMs > 0) await this.#clock.sleep(fate.thereMs)
    if (fate.loss === 'there') return await this.#lose(to, operation)
    await this.#gate?.(to)
    const answer = await effect()
    if (fate.loss === 'back') return await this.#lose(to, operation)
    if (fate.backMs > 0) await this.#clock.sleep(fate.backMs)
    await this.#gate?.(from)
    return answer
  }

  async #lose (to: string, operation: string): Promise<Result<never, AuburnpinError>> {
    await this.#clock.sleep(TIMEOUT_MS)
    return Err(new AuburnpinError('unknown-outcome', `${to} gave no answer to ${operation}`, 'Read back before you repeat it.'))
  }
}
