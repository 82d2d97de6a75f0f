import test from 'ava'
import { brand, type ConfigVersion, type Instant, type NoteId } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, MAX_REPLACEMENT_WAIT_MS, type Configuration, type TaskSpec } from '../src/index.ts'
import { actionsOf, idsOf, PolicyScenario, replicaOf, sized, specOf, vmOf } from './support/PolicyScenario.ts'

const EVACUATION = { value: { reason: 'power works', since: 5 }, changedBy: brand<NoteId>('n'), changedIn: brand<ConfigVersion>(1) }

const configure = (scenario: PolicyScenario, version: number, isEvacuated: boolean, declared: readonly TaskSpec[] = []) => {
  const evacuations = (isEvacuated ? { colombo: EVACUATION } : {}) as Configuration['evacuations']
  return scenario.step({ kind: 'configured', configuration: { ...EMPTY_CONFIGURATION, version: brand<ConfigVersion>(version), evacuations }, declared })
}

const assignedDuring = (scenario: PolicyScenario, seconds: number): string[] =>
  Array.from({ length: seconds }, () => idsOf(scenario.tick(1_000), 'assigned')).flat()

test('a running replica and a running watch in an evacuated data centre go on, even if their declarations change meanwhile', t => {
  const declared = [replicaOf('stockline.0', 2), specOf('route-watch', 2, { kind: 'watch' })]
  const changed = declared.map(spec => ({ ...spec, resources: sized(3) }))
  const scenario = new PolicyScenario().withService(100, declared).withVms(vmOf('vm-1'))
  scenario.tick()
  configure(scenario, 2, true, changed)
  const actions: string[] = []
  for (let elapsedMs = 0; elapsedMs < 2 * MAX_REPLACEMENT_WAIT_MS; elapsedMs += 5_000) {
    const tasks = declared.map(({ id }) => ({ id, attempt: scenario.task(id).attempt, state: 'running' as const, address: `127.0.0.1:9/${id}` }))
    const { vm, session } = scenario.task('stockline.0').placement ?? t.fail('the replica has lost its placement') as never
    const report = scenario.step({ kind: 'reported', vm, askedAt: brand<Instant>(scenario.now + 5_000), session, tasks }, 5_000)
    actions.push(...actionsOf(report), ...actionsOf(scenario.tick()))
  }
  t.false(actions.some(action => action === 'start' || action === 'stop'))
  t.deepEqual(declared.map(({ id }) => scenario.task(id).state), ['running', 'running'])
  t.deepEqual(idsOf(configure(scenario, 3, false, changed), 'stopping'), ['route-watch'])
})

test('a task that fails in an evacuated data centre waits there, says why, and starts again after the restoration', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).submit(specOf('order-1', 2))
  scenario.tick()
  configure(scenario, 1, true)
  scenario.report('order-1', 'failed')
  t.deepEqual(assignedDuring(scenario, 20), [])
  const reason = scenario.cell.explain(scenario.task('order-1').spec.id, scenario.now)
  t.deepEqual(reason, { kind: 'data-centre-evacuated', dataCentre: vmOf('vm-1').dataCentre })
  configure(scenario, 2, false)
  t.deepEqual(assignedDuring(scenario, 1), ['order-1'])
})

test('urgent tasks in an evacuated data centre evict nothing, and don\'t use what evictions before it have freed', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'), vmOf('vm-2')).submit(specOf('order-1', 8), specOf('order-2', 8))
  scenario.tick()
  const [evicted = ''] = idsOf(scenario.submit(specOf('urgent-1', 4, { isUrgent: true })).tick(), 'stopping')
  configure(scenario, 1, true)
  scenario.submit(specOf('urgent-2', 8, { isUrgent: true })).report(evicted, 'stopped')
  t.deepEqual(assignedDuring(scenario, 20), [])
  t.is(['order-1', 'order-2'].filter(id => scenario.task(id).placement?.isStopping === false).length, 1)
})
