/**
 * Random numbers from the operating system.
 */
import { randomInt } from 'node:crypto'
import { Random } from './Random.ts'

const FRACTION_STEPS = 0x1000000000000 - 1

/** Cryptographically secure random numbers, suitable for ids and secrets. */
export class SystemRandom extends Random {
  fraction (): number {
    return randomInt(FRACTION_STEPS) / FRACTION_STEPS
  }
}
