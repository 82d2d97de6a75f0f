import test from 'ava'
import { ProtocolModel, type ModelState, type Mutant } from './support/ProtocolModel.ts'
import { search } from './support/search.ts'

/** Faults are lost leases, lost answers, delayed renewals, dying and leaving VMs; claims are take-overs. */
type Scenario = Readonly<{ name: string, faults: number, claims: number, isCold: boolean, depth: number, mutants: readonly Mutant[] }>

const SCENARIOS: readonly Scenario[] = [
  { name: 'a first owner that knows no worker yet', faults: 0, claims: 0, isCold: true, depth: 24, mutants: ['no-asked-at'] },
  { name: 'one fault', faults: 1, claims: 0, isCold: false, depth: 16, mutants: ['no-closed-sessions', 'forgets-ends'] },
  { name: 'two faults', faults: 2, claims: 0, isCold: false, depth: 10, mutants: [] },
  { name: 'one take-over', faults: 0, claims: 1, isCold: false, depth: 12, mutants: ['ends-under-open-session', 'no-epoch-check', 'acts-before-durable'] },
  { name: 'one fault and one take-over', faults: 1, claims: 1, isCold: false, depth: 8, mutants: [] }
]

const startOf = (model: ProtocolModel, { faults, claims, isCold }: Scenario): ModelState =>
  isCold ? model.startCold(faults, claims) : model.start(faults, claims)

for (const scenario of SCENARIOS) {
  test(`no interleaving runs or finishes the task twice: ${scenario.name}`, t => {
    const model = new ProtocolModel('none')
    const found = search(model, startOf(model, scenario), scenario.depth)
    t.log(`${found.states} states, ${found.moves} moves, depth ${found.depth}`)
    t.is(found.breach, undefined, found.trail?.join('\n'))
    t.true(found.states > 1_000 || found.isComplete)
  })

  for (const mutant of scenario.mutants) {
    test(`the search catches a cell that breaks a rule: ${mutant}`, t => {
      const model = new ProtocolModel(mutant)
      const found = search(model, startOf(model, scenario), scenario.depth)
      t.log(`${found.states} states, depth ${found.depth}: ${found.breach ?? 'nothing found'}`)
      t.truthy(found.breach)
    })
  }
}
