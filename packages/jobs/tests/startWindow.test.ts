import test from 'ava'
import { brand, type Instant } from '@auburnpin/common'
import { WORKER_LEASE_MS } from '../src/index.ts'
import { StartWindow } from '../src/StartWindow.ts'

const BURST_GAP_MS = 10_000
/** Within which urgent work starts, in milliseconds; see CONTRIBUTING.md. */
const URGENT_START_MS = 2_400
/** Messages that wait one after another before a task has started: its job, the worker's confirmation, the response, and the report that ends the step before. */
const MESSAGES_PER_START = 4

const at = (ms: number): Instant => brand<Instant>(ms)

/** Uses up the window again and again; a process needs `costMs` for each response. Returns the delay of the last response. */
const playBursts = (window: StartWindow, costMs: number, bursts: number): number => {
  let delayMs = 0
  for (let burst = 0; burst < bursts; burst++) {
    const count = window.free
    const orders = Array.from({ length: count }, () => window.open(at(burst * BURST_GAP_MS)))
    for (const [index, order] of orders.entries()) {
      delayMs = (index + 1) * costMs
      window.close(order, at(burst * BURST_GAP_MS), at(burst * BURST_GAP_MS + delayMs), true)
    }
  }
  return delayMs
}

test('a process that reads responses at once can start hundreds of tasks in one burst', t => {
  const window = new StartWindow()
  playBursts(window, 0.2, 40)
  t.true(window.free >= 500, String(window.free))
})

test('on a slow process responses, and the reports that wait with them, take less than half of a lease', t => {
  for (const costMs of [1, 4, 10, 25]) {
    const delayMs = playBursts(new StartWindow(), costMs, 200)
    t.true(delayMs < WORKER_LEASE_MS / 2, `${costMs} ms a response: ${delayMs} ms`)
  }
})

test('on a slow process the orders of more urgent tasks wait for few others', t => {
  for (const costMs of [1, 4, 10, 25]) {
    const delayMs = playBursts(new StartWindow(), costMs, 200)
    t.true(delayMs <= URGENT_START_MS / MESSAGES_PER_START, `${costMs} ms a response: ${delayMs} ms`)
  }
})

test('after a slow time the limit grows again', t => {
  const window = new StartWindow()
  playBursts(window, 25, 100)
  t.is(window.free, 16)
  playBursts(window, 0.5, 40)
  t.true(window.free >= 200, String(window.free))
})

test('workers that do not respond are no reason to start less on the others', t => {
  const window = new StartWindow()
  const orders = Array.from({ length: 40 }, () => window.open(at(0)))
  for (const order of orders) window.close(order, at(0), at(700), false)
  t.is(window.free, 64)
})

test('orders to workers that do not respond leave the whole limit to others once a later order is answered', t => {
  const window = new StartWindow()
  playBursts(window, 25, 100)
  const now = 100 * BURST_GAP_MS
  for (let order = 0; order < 15; order++) window.open(at(now))
  t.is(window.free, 1)
  const answered = window.open(at(now + 300))
  window.close(answered, at(now + 300), at(now + 310), true)
  t.is(window.free, 16)
})
