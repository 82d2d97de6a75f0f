import test from 'ava'
import { brand, type TeamName } from '@auburnpin/common'
import { idsOf, PolicyScenario, sized, specOf, vmOf } from './support/PolicyScenario.ts'

const desk = brand<TeamName>('desk')

test('a standing watch whose VM vanished evicts batch work although many urgent tasks wait that are over their quota', t => {
  const small = vmOf('vm-2', { resources: sized(2, 8_000) })
  const scenario = new PolicyScenario().withVms(vmOf('vm-1')).withQuotas({ desk: sized(2, 8_000) }).submit(specOf('watch', 8, { kind: 'watch' }))
  scenario.tick()
  scenario.report('watch', 'running')
  scenario.withVms(small)
  for (let index = 0; index < 100; index++) scenario.submit(specOf(`urgent${index}`, 2, { team: desk, isUrgent: true }))
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['urgent0'])
  scenario.withVms(vmOf('vm-3')).submit(specOf('batch', 8))
  scenario.tick()
  scenario.report('batch', 'running')
  scenario.step({ kind: 'vms-listed', vms: [small, vmOf('vm-3')] })
  const stopped = Array.from({ length: 40 }, () => idsOf(scenario.tick(1_000), 'stopping')).flat()
  t.deepEqual(stopped, ['batch'])
  scenario.report('batch', 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['watch'])
})

test('capacity that is reserved for an urgent task is free for others once the task is over its quota', t => {
  const scenario = new PolicyScenario().withVms(vmOf('vm-1'), vmOf('vm-2')).withQuotas({ desk: sized(8, 8_000) })
  scenario.submit(specOf('a', 8), specOf('b', 8))
  scenario.tick()
  for (const id of ['a', 'b']) scenario.report(id, 'running')
  scenario.submit(specOf('urgent1', 8, { team: desk, isUrgent: true }), specOf('urgent2', 8, { team: desk, isUrgent: true }))
  t.deepEqual(idsOf(scenario.tick(), 'stopping').sort(), ['a', 'b'])
  for (const id of ['a', 'b']) scenario.report(id, 'stopped')
  t.deepEqual(idsOf(scenario.tick(), 'assigned'), ['urgent1'])
  scenario.submit(specOf('watch', 8, { kind: 'watch', acceptedAt: 5 }))
  const assigned = Array.from({ length: 200 }, () => idsOf(scenario.tick(), 'assigned')).flat()
  t.deepEqual(assigned, ['watch'])
})
