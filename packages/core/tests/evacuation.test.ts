import test from 'ava'
import { brand, type ConfigVersion, type Instant, type NoteId } from '@auburnpin/common'
import { dateEvacuations, describeReason, EMPTY_CONFIGURATION, MAX_REPLACEMENT_WAIT_MS, mergeNote, noteSchema, type Configuration, type TaskSpec } from '../src/index.ts'
import { actionsOf, idsOf, PolicyScenario, replicaOf, sized, specOf, vmOf } from './support/PolicyScenario.ts'

const EVACUATION = { value: { reason: 'power works', since: 5 }, changedBy: brand<NoteId>('n'), changedIn: brand<ConfigVersion>(1) }

const configure = (scenario: PolicyScenario, version: number, isEvacuated: boolean, declared: readonly TaskSpec[] = []) => {
  const evacuations = (isEvacuated ? { colombo: EVACUATION } : {}) as Configuration['evacuations']
  return scenario.step({ kind: 'configured', configuration: { ...EMPTY_CONFIGURATION, version: brand<ConfigVersion>(version), evacuations }, declared })
}

const addressOf = (id: string) => ({ id: replicaOf(id, 2).id, attempt: 1, state: 'running', address: `127.0.0.1:9/${id}` }) as const

/** One report in which the replica `stockline.0` runs, then a tick. */
const reportReplica = (scenario: PolicyScenario, afterMs = 1_000) => {
  const { attempt, placement } = scenario.task('stockline.0')
  if (placement === undefined) throw new Error('The replica has no placement')
  const { vm, session } = placement
  const tasks = [{ ...addressOf('stockline.0'), attempt }]
  const step = scenario.step({ kind: 'reported', vm, askedAt: brand<Instant>(scenario.now + afterMs), session, tasks }, afterMs)
  return [...actionsOf(step), ...actionsOf(scenario.tick())]
}

test('a running replica in an evacuated data centre keeps answering, even if its declaration changes meanwhile', t => {
  const declared = replicaOf('stockline.0', 2)
  const scenario = new PolicyScenario().withService(100, [declared]).withVms(vmOf('vm-1'))
  scenario.tick()
  reportReplica(scenario)
  configure(scenario, 2, true, [{ ...declared, command: 'serve faster' }])
  const actions: string[] = []
  for (let elapsedMs = 0; elapsedMs < 2 * MAX_REPLACEMENT_WAIT_MS; elapsedMs += 5_000) actions.push(...reportReplica(scenario, 5_000))
  t.false(actions.includes('stop'))
  t.false(actions.includes('start'))
  t.is(scenario.task('stockline.0').state, 'running')
  t.false(scenario.task('stockline.0').isWithdrawn)
})

test('a task that fails in an evacuated data centre waits there, says why, and starts again after the restoration', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('order-1', 2))
  scenario.tick()
  scenario.report('order-1', 'running')
  configure(scenario, 1, true)
  scenario.report('order-1', 'failed')
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(idsOf(scenario.tick(1_000), 'assigned'), [])
  const reason = scenario.cell.explain(scenario.task('order-1').spec.id, scenario.now)
  t.deepEqual(reason, { kind: 'data-centre-evacuated', dataCentre: vmOf('vm-1').dataCentre })
  t.is(describeReason({ kind: 'data-centre-evacuated', dataCentre: vmOf('vm-1').dataCentre }).cause, 'data centre colombo is evacuated')
  configure(scenario, 2, false)
  t.deepEqual(idsOf(scenario.tick(1_000), 'assigned'), ['order-1'])
})

test('a VM that is listed only after the evacuation gets no work either', t => {
  const scenario = new PolicyScenario()
  configure(scenario, 1, true)
  scenario.withVms(vmOf('vm-1')).submit(specOf('order-1', 2))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), [])
})

test('an urgent task that waits in an evacuated data centre evicts nothing that runs there', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('order-1', 8))
  scenario.tick()
  scenario.report('order-1', 'running')
  configure(scenario, 1, true)
  scenario.submit(specOf('urgent-1', 4, { isUrgent: true }))
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(scenario.tick(1_000).transitions, [])
  t.is(scenario.task('order-1').state, 'running')
})

test('capacity that evictions free for an urgent task is not used if the data centre is evacuated in between', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('order-1', 8))
  scenario.tick()
  scenario.report('order-1', 'running')
  scenario.submit(specOf('urgent-1', 4, { isUrgent: true }))
  t.deepEqual(idsOf(scenario.tick(), 'stopping'), ['order-1'])
  configure(scenario, 1, true)
  scenario.report('order-1', 'stopped')
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(idsOf(scenario.tick(1_000), 'assigned'), [])
})

test('a changed watch runs on as it was declared until its data centre is restored', t => {
  const watch = specOf('route-watch', 2, { kind: 'watch' })
  const changed = { ...watch, resources: sized(3) }
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'))
  configure(scenario, 1, false, [watch])
  scenario.tick()
  scenario.report('route-watch', 'running')
  configure(scenario, 2, true, [changed])
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(scenario.tick(1_000).transitions, [])
  const restored = configure(scenario, 3, false, [changed])
  t.deepEqual(idsOf(restored, 'stopping'), ['route-watch'])
})

test('a new owner that has not read the configuration of its predecessor assigns nothing until it has', t => {
  const scenario = new PolicyScenario()
  const journalled = { kind: 'accepted', spec: specOf('order-1', 2) } as const
  scenario.cell.restore([journalled], scenario.now, [], brand<ConfigVersion>(7))
  scenario.withVms(vmOf('vm-1'))
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(scenario.tick().transitions, [])
  configure(scenario, 7, true)
  for (let ticks = 0; ticks < 20; ticks++) t.deepEqual(scenario.tick().transitions, [])
  configure(scenario, 8, false)
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['order-1'])
})

test('an evacuation keeps its date when its reason changes, and gets a new one when it is declared again', t => {
  const note = (id: string, content: object) => noteSchema.parse({ id, ...content })
  const apply = (current: Configuration, content: object, at: number): Configuration =>
    dateEvacuations(current, mergeNote(current, note(`at-${at}`, content), current.version).unwrap().configuration, at)
  const sinceOf = ({ evacuations }: Configuration) => Object.values(evacuations).map(({ value }) => value.since)
  const first = apply(EMPTY_CONFIGURATION, { added: { evacuations: { colombo: { reason: 'power works' } } } }, 100)
  t.deepEqual(sinceOf(first), [100])
  const changed = apply(first, { changed: { evacuations: { colombo: { reason: 'power and cooling' } } } }, 200)
  t.deepEqual(sinceOf(changed), [100])
  const restored = apply(changed, { withdrawn: { evacuations: ['colombo'] } }, 300)
  t.deepEqual(sinceOf(restored), [])
  t.deepEqual(sinceOf(apply(restored, { added: { evacuations: { colombo: { reason: 'again' } } } }, 400)), [400])
})
