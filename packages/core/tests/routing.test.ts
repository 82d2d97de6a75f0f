import test from 'ava'
import fc from 'fast-check'
import { brand, type CallerId, type DataCentre, type EndpointId, type Instant, type MemberId, type ServiceName, type VmId } from '@auburnpin/common'
import {
  EJECTION_MS, EndpointPool, FAILURES_TO_EJECT, FairQueue, isRetryAllowed, LEAVING_MEMORY_MS, ownerOfEndpoint, RetryBudget,
  type Endpoint, type RequestOutcome, type FailedTry, type LiveGateway, type RouteConstraints
} from '../src/index.ts'

const ANYWHERE: RouteConstraints = { tried: new Set() }
const at = (now: number): Instant => brand<Instant>(now)
const idOf = (index: number): EndpointId => brand<EndpointId>(`endpoint-${index}`)

const endpoint = (index: number, isLeaving = false): Endpoint => ({
  id: idOf(index),
  service: brand<ServiceName>('stockline'),
  vm: brand<VmId>(`vm-${index}`),
  dataCentre: brand<DataCentre>(index % 2 === 0 ? 'colombo' : 'negombo'),
  address: `127.0.0.1:${index + 1}`,
  slots: 8,
  connections: 64,
  isLeaving
})

const poolOf = (count: number): EndpointPool => {
  const pool = new EndpointPool()
  pool.update(Array.from({ length: count }, (_, index) => endpoint(index)))
  return pool
}

const fail = (pool: EndpointPool, id: EndpointId, now: Instant, times = FAILURES_TO_EJECT): void => {
  for (let failure = 0; failure < times; failure++) {
    const taken = pool.acquire({ ...ANYWHERE, bound: id }, now)
    if (taken !== undefined) pool.release(taken.id, 'failed', now)
  }
}

const OUTCOMES: readonly RequestOutcome[] = ['answered', 'failed', 'refused-busy', 'refused-leaving', 'abandoned']

test('in any order of acquisitions, releases and updates, no endpoint gets more requests than it has slots', t => {
  const operation = fc.record({ kind: fc.constantFrom('acquire', 'release', 'update'), pick: fc.nat(50), report: fc.constantFrom(...OUTCOMES), later: fc.nat(400) })
  fc.assert(fc.property(fc.array(operation, { maxLength: 300 }), operations => {
    const pool = poolOf(3)
    const held: EndpointId[] = []
    let now = 0
    for (const { kind, pick, report, later } of operations) {
      now += later
      if (kind === 'update') pool.update([endpoint(pick % 3), endpoint((pick + 1) % 3)])
      if (kind === 'release' && held.length > 0) pool.release(held.splice(pick % held.length, 1)[0] as EndpointId, report, at(now))
      const taken = kind === 'acquire' ? pool.acquire(ANYWHERE, at(now)) : undefined
      if (taken !== undefined) held.push(taken.id)
      for (const id of [idOf(0), idOf(1), idOf(2)]) {
        const count = held.filter(other => other === id).length
        if (count > 8 || count !== pool.slotsInUse(id)) return false
      }
    }
    return true
  }), { seed: 7, numRuns: 300 })
  t.pass()
})

test('an endpoint that fails is ejected and ramps up again slowly', t => {
  const pool = poolOf(2)
  fail(pool, idOf(0), at(0))
  t.false(pool.isAccepting(idOf(0), at(EJECTION_MS - 1)))
  const back = at(EJECTION_MS)
  t.true(pool.isAccepting(idOf(0), back))
  const first = pool.acquire({ ...ANYWHERE, bound: idOf(0) }, back)
  t.is(first?.id, idOf(0))
  t.is(pool.acquire({ ...ANYWHERE, bound: idOf(0) }, back), undefined)
  pool.release(idOf(0), 'answered', back)
  t.truthy(pool.acquire({ ...ANYWHERE, bound: idOf(0) }, back))
  t.truthy(pool.acquire({ ...ANYWHERE, bound: idOf(0) }, back))
  t.is(pool.acquire({ ...ANYWHERE, bound: idOf(0) }, back), undefined)
})

test('a failure during ramp-up ejects the endpoint for longer', t => {
  const pool = poolOf(2)
  fail(pool, idOf(0), at(0))
  fail(pool, idOf(0), at(EJECTION_MS), 1)
  t.false(pool.isAccepting(idOf(0), at(EJECTION_MS * 2)))
  t.true(pool.isAccepting(idOf(0), at(EJECTION_MS * 3)))
})

test('never more than half of the endpoints are ejected', t => {
  const pool = poolOf(5)
  for (let index = 0; index < 5; index++) fail(pool, idOf(index), at(0), FAILURES_TO_EJECT * 2)
  const left = [0, 1, 2, 3, 4].filter(index => pool.isAccepting(idOf(index), at(1)))
  t.is(left.length, 3)
})

test('an endpoint that refuses a request as it is leaving gets no new ones, before an update of the endpoints', t => {
  const pool = poolOf(2)
  pool.acquire({ ...ANYWHERE, bound: idOf(0) }, at(0))
  pool.release(idOf(0), 'refused-leaving', at(0))
  for (let count = 0; count < 8; count++) t.is(pool.acquire(ANYWHERE, at(LEAVING_MEMORY_MS - 1))?.id, idOf(1))
  t.is(pool.acquire(ANYWHERE, at(LEAVING_MEMORY_MS - 1)), undefined)
})

test('a session waits for a slot of its endpoint, and moves only when that endpoint is leaving', t => {
  const pool = poolOf(2)
  const bound: RouteConstraints = { ...ANYWHERE, bound: idOf(0) }
  for (let count = 0; count < 8; count++) t.is(pool.acquire(bound, at(0))?.id, idOf(0))
  t.is(pool.acquire(bound, at(0)), undefined)
  pool.update([endpoint(0, true), endpoint(1)])
  t.is(pool.acquire(bound, at(0))?.id, idOf(1))
})

test('a retry goes to another endpoint if there is one', t => {
  const pool = poolOf(2)
  t.is(pool.acquire({ tried: new Set([idOf(0)]) }, at(0))?.id, idOf(1))
  pool.update([endpoint(0)])
  t.is(pool.acquire({ tried: new Set([idOf(0)]) }, at(0))?.id, idOf(0))
})

const FAILED: FailedTry = { tries: 1, isNotRun: false, isRefused: false, isIdempotent: false, isReplayable: true, isBegun: false }

test('only a request that was certainly not executed, or is idempotent, is retried', t => {
  t.false(isRetryAllowed(FAILED, new RetryBudget()))
  t.true(isRetryAllowed({ ...FAILED, isIdempotent: true }, new RetryBudget()))
  t.true(isRetryAllowed({ ...FAILED, isNotRun: true }, new RetryBudget()))
  t.false(isRetryAllowed({ ...FAILED, isNotRun: true, isReplayable: false }, new RetryBudget()))
  t.false(isRetryAllowed({ ...FAILED, isIdempotent: true, isBegun: true }, new RetryBudget()))
  t.false(isRetryAllowed({ ...FAILED, isIdempotent: true, tries: 3 }, new RetryBudget()))
})

test('in an outage, retries are limited to a tenth of the requests', t => {
  const budget = new RetryBudget()
  let retries = 0
  for (let request = 0; request < 1_000; request++) {
    budget.earn()
    if (isRetryAllowed({ ...FAILED, isNotRun: true }, budget)) retries++
  }
  t.true(retries >= 100 && retries <= 111)
})

test('a burst from one caller neither fills the queue nor delays the others', t => {
  const queue = new FairQueue<string>(100)
  const [burst, quiet] = [brand<CallerId>('burst'), brand<CallerId>('quiet')]
  const admitted = Array.from({ length: 500 }, (_, index) => queue.push(burst, `burst-${index}`)).filter(({ kind }) => kind === 'queued')
  t.is(admitted.length, 50)
  t.is(queue.positionOf(quiet), 1)
  t.is(queue.push(quiet, 'quiet-0').kind, 'queued')
  t.is(queue.take(() => true), 'burst-0')
  t.is(queue.take(() => true), 'quiet-0')
})

test('a full queue removes an item of the caller with the most items', t => {
  const queue = new FairQueue<string>(4)
  for (const caller of ['a', 'a', 'b', 'b']) queue.push(brand<CallerId>(caller), caller)
  t.deepEqual(queue.push(brand<CallerId>('c'), 'c'), { kind: 'queued', displaced: 'a' })
  t.is(queue.length, 4)
  t.deepEqual(queue.push(brand<CallerId>('b'), 'b'), { kind: 'full' })
})

const gateway = (index: number, dataCentre: string): LiveGateway => ({ member: brand<MemberId>(`entry-${index}`), dataCentre: brand<DataCentre>(dataCentre) })

test('every gateway computes the same owner, in the endpoint\'s data centre if possible, and only the endpoints of a lost gateway move', t => {
  const gateways = Array.from({ length: 9 }, (_, index) => gateway(index, index % 2 === 0 ? 'colombo' : 'negombo'))
  const endpoints = Array.from({ length: 33 }, (_, index) => endpoint(index))
  const lost = gateways[0] as LiveGateway
  for (const each of endpoints) {
    const owner = ownerOfEndpoint(each, gateways)
    t.is(ownerOfEndpoint(each, [...gateways].reverse()), owner)
    t.is(gateways.find(({ member }) => member === owner)?.dataCentre, each.dataCentre)
    if (owner !== lost.member) t.is(ownerOfEndpoint(each, gateways.slice(1)), owner)
  }
  t.is(ownerOfEndpoint(endpoint(0), [gateway(1, 'kalutara')]), brand<MemberId>('entry-1'))
})
