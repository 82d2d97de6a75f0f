import test from 'ava'
import fc from 'fast-check'
import { brand, fitsWithin, SeededRandom, type Instant, type ServiceName, type VmId } from '@auburnpin/common'
import { CapacityIndex, LearntInterference } from '../src/index.ts'
import { UsageEstimates } from '../src/interference/UsageEstimates.ts'
import { sized, specOf } from './support/PolicyScenario.ts'

const SERVICE = brand<ServiceName>('stockline')

test('interference of two workload kinds is separated in noisy samples of their mixtures', t => {
  const model = new LearntInterference()
  const random = new SeededRandom(5)
  for (let index = 0; index < 400; index++) {
    const quiet = random.below(12)
    const loud = random.below(6)
    const ratio = (0.5 + 0.005 * quiet + 0.06 * loud) * (0.9 + 0.2 * random.fraction())
    model.learn({ service: SERVICE, load: 0.8, ratio, neighbours: [{ kind: 'quiet', cores: quiet }, { kind: 'loud', cores: loud }], measuredAt: brand<Instant>(index * 1_000) })
  }
  const loudRatio = model.ratioPerCore(SERVICE, 'loud', 0.8)
  t.true(Math.abs(loudRatio - 0.06) < 0.012, `loud ${loudRatio}`)
  t.true(model.ratioPerCore(SERVICE, 'quiet', 0.8) < 0.015)
  t.true(model.ratioPerCore(SERVICE, 'loud', 0.1) < loudRatio, 'another load band has not learnt it')
})

test('learnt interference adapts to a change', t => {
  const model = new LearntInterference()
  const feed = (from: number, perCore: number): void => {
    for (let index = 0; index < 600; index++) {
      const cores = index % 8
      model.learn({ service: SERVICE, load: 0.5, ratio: 0.5 + perCore * cores, neighbours: [{ kind: 'k', cores }], measuredAt: brand<Instant>((from + index) * 2_000) })
    }
  }
  feed(0, 0.08)
  t.true(model.ratioPerCore(SERVICE, 'k', 0.5) > 0.06)
  feed(600, 0.01)
  t.true(model.ratioPerCore(SERVICE, 'k', 0.5) < 0.03)
})

test('the usage of a throttled task is learnt only where the throttle does not limit it', t => {
  const usage = new UsageEstimates()
  const spec = specOf('a', 20)
  usage.learn(spec, 2, 1)
  for (let index = 0; index < 50; index++) usage.learn(spec, 2, 0.25)
  t.true(Math.abs(usage.unthrottledCores(spec) - 2) < 0.1)
})

test('the capacity index finds exactly the VMs with enough capacity, from any start', t => {
  const arrays = fc.array(fc.record({ processors: fc.nat(8), memoryMb: fc.nat(8), accelerators: fc.nat(2) }), { maxLength: 60 })
  fc.assert(fc.property(arrays, fc.nat(8), fc.nat(2), fc.double({ min: 0, max: 0.999, noNaN: true }), (capacities, processors, accelerators, start) => {
    const index = new CapacityIndex()
    for (const [number, capacity] of capacities.entries()) index.set(brand<VmId>(`vm-${number}`), capacity)
    for (let number = 0; number < capacities.length; number += 3) index.delete(brand<VmId>(`vm-${number}`))
    const wanted = sized(processors, 1, accelerators)
    const expected = capacities.flatMap((capacity, number) => number % 3 !== 0 && fitsWithin(wanted, capacity) ? [`vm-${number}`] : [])
    t.deepEqual([...index.find(wanted, 100, start)].sort(), expected.sort())
    t.true(index.find(wanted, 5, start).length <= 5)
  }), { seed: 3, numRuns: 200 })
})
