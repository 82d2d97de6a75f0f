/**
 * Converts the declarations of a trace to a configuration.
 */
import { brand, type ConfigVersion, type NoteId, type TeamName } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, type Configuration, type Declared, type DeclaredTask, type Limit, type Service, type Team } from '@auburnpin/core'
import type { Trace } from './Trace.ts'

/** Returns the configuration as if one release note had declared everything before the start. */
export const toConfiguration = (trace: Trace): Configuration => {
  const services: Record<string, Declared<Service>> = {}
  for (const { name, team, replicas, resources, objectiveMs } of trace.linesOf('service')) {
    services[name] = declared({
      team: brand<TeamName>(team), replicas, resources, objectiveMs, command: `serve ${name}`, slots: 8, connections: 64, queueMs: 2_000, idempotentMethods: ['GET']
    })
  }
  const teams: Record<string, Declared<Team>> = {}
  for (const { name, quota } of trace.linesOf('team')) teams[name] = declared({ quota })
  const limits: Record<string, Declared<Limit>> = {}
  for (const { name, value } of trace.linesOf('limit')) limits[name] = declared({ value })
  return { ...EMPTY_CONFIGURATION, version: brand<ConfigVersion>(1), services, teams, limits, tasks: declaredWatches(trace) }
}

const declaredWatches = (trace: Trace): Record<string, Declared<DeclaredTask>> => {
  const tasks: Record<string, Declared<DeclaredTask>> = {}
  for (const [index, line] of trace.linesOf('jobs').entries()) {
    if (!line.isWatch) continue
    for (let number = 0; number < line.count; number++) {
      tasks[`watch-${index}-${number}`] = declared({
        kind: 'watch', team: brand<TeamName>(line.team), resources: line.resources, command: line.command, isUrgent: false
      })
    }
  }
  return tasks
}

const declared = <Value>(value: Value): Declared<Value> => ({ value, changedBy: brand<NoteId>('trace'), changedIn: brand<ConfigVersion>(1) })
