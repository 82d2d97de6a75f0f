/** Stories of VMs that are reborn in series while calls come late, and are cut off soon after. */
import test from 'ava'
import { readFileSync } from 'node:fs'
import { RebirthStory } from './support/RebirthStory.ts'

const STORIES_IN_CI = 10
const KNOWN_RED = new URL('../../../KNOWN-RED.txt', import.meta.url)

// Other stories are played by hand, see CONTRIBUTING.md.
const firstSeed = Number(process.env.FIRST_STORY ?? 1)
const seeds = Array.from({ length: Number(process.env.STORIES ?? STORIES_IN_CI) }, (_, index) => firstSeed + index)

const knownRed = readFileSync(KNOWN_RED, 'utf8').split('\n').filter(line => line.startsWith('rebirthStories |'))
const isKnownRed = (seed: number): boolean => knownRed.some(line => line.split('|')[2]?.split(' ').includes(`${seed}`))

for (const seed of seeds) {
  const story = isKnownRed(seed) ? test.serial.failing : test.serial
  story(`however often VMs are reborn with calls on their way, and owners end, no task runs twice: story ${seed}`, async t => {
    t.deepEqual(await new RebirthStory(seed).play(), [])
  })
}
