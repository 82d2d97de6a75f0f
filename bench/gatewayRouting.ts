/**
 * Compares routing strategies of gateways by simulation in virtual time.
 * Run: node --import tsx bench/gatewayRouting.ts
 */
import { RoutingModel, type Routing } from './gatewayRoutingModel.ts'

const ROUTINGS: readonly Routing[] = ['owned', 'owned-wait-here', 'owned-alone', 'two-choices', 'two-choices-patient']
const LOADS = [0.5, 0.8, 0.95, 1.2]
const REQUESTS = 100_000
const SEED = 1

const percent = (share: number): string => `${(share * 100).toFixed(2)} %`

for (const isSkewed of [false, true]) {
  console.log(`\n${isSkewed ? '40 % of the requests come to one gateway' : 'Requests come evenly to all gateways'}\n`)
  console.log('| load | routing | p50 ms | p99 ms | p99.9 ms | refused | endpoint refusals per request | hops per request |')
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- |')
  for (const load of LOADS) {
    for (const routing of ROUTINGS) {
      const outcome = new RoutingModel({ routing, load, requests: REQUESTS, seed: SEED, isSkewed }).run()
      const times = [outcome.p50, outcome.p99, outcome.p999].map(value => value.toFixed(1))
      const shares = [percent(outcome.refusedShare), outcome.refusalsPerRequest.toFixed(3), outcome.hopsPerRequest.toFixed(3)]
      console.log(`| ${[load, routing, ...times, ...shares].join(' | ')} |`)
    }
  }
}
