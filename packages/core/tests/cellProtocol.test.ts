import test from 'ava'
import { ProtocolModel, type ModelState, type Mutant } from './support/ProtocolModel.ts'
import { search } from './support/search.ts'

/** `faults` limits lost leases, lost responses, delayed renewals, and VMs that die or leave. */
type Scenario = Readonly<{ name: string, faults: number, takeovers: number, isWithoutWorkers: boolean, depth: number, mutants: readonly Mutant[] }>

const SCENARIOS: readonly Scenario[] = [
  { name: 'a first owner that has seen no worker yet', faults: 0, takeovers: 0, isWithoutWorkers: true, depth: 24, mutants: ['no-asked-at'] },
  { name: 'one fault', faults: 1, takeovers: 0, isWithoutWorkers: false, depth: 16, mutants: ['no-closed-sessions', 'forgets-ends'] },
  { name: 'two faults', faults: 2, takeovers: 0, isWithoutWorkers: false, depth: 10, mutants: [] },
  { name: 'one takeover', faults: 0, takeovers: 1, isWithoutWorkers: false, depth: 12, mutants: ['ends-under-open-session', 'no-epoch-check', 'acts-before-durable'] },
  { name: 'one fault and one takeover', faults: 1, takeovers: 1, isWithoutWorkers: false, depth: 8, mutants: [] }
]

const initialState = (model: ProtocolModel, { faults, takeovers, isWithoutWorkers }: Scenario): ModelState =>
  isWithoutWorkers ? model.startWithoutWorkers(faults, takeovers) : model.startPlaced(faults, takeovers)

for (const scenario of SCENARIOS) {
  test(`no interleaving runs or finishes the task twice: ${scenario.name}`, t => {
    const model = new ProtocolModel('none')
    const found = search(model, initialState(model, scenario), scenario.depth)
    t.log(`${found.states} states, ${found.moves} moves, depth ${found.depth}`)
    t.is(found.violation, undefined, found.trace?.join('\n'))
    t.true(found.states > 1_000 || found.isComplete)
  })

  for (const mutant of scenario.mutants) {
    test(`the search detects a protocol that breaks a rule: ${mutant}`, t => {
      const model = new ProtocolModel(mutant)
      const found = search(model, initialState(model, scenario), scenario.depth)
      t.log(`${found.states} states, depth ${found.depth}: ${found.violation ?? 'nothing found'}`)
      t.truthy(found.violation)
    })
  }
}
