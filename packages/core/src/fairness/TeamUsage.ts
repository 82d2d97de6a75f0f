/**
 * Resources that each team has committed in the cell, compared with its quota.
 */
import {
  addResources, NO_RESOURCES, RESOURCE_DIMENSIONS, subtractResources, type Resources, type TeamName
} from '@auburnpin/common'
import type { Task } from '../cell/types.ts'

type Usage = Readonly<{ total: Resources, batch: Resources }>

const NO_USAGE: Usage = { total: NO_RESOURCES, batch: NO_RESOURCES }

/** Usage is the sum of declared sizes. A team without a quota is counted but not limited. */
export class TeamUsage {
  readonly #usage = new Map<TeamName, Usage>()
  readonly #quotas = new Map<TeamName, Resources>()

  /** Sets every team's quota in this cell. */
  setQuotas (quotas: ReadonlyMap<TeamName, Resources>): void {
    this.#quotas.clear()
    for (const [team, quota] of quotas) this.#quotas.set(team, quota)
  }

  quotaOf (team: TeamName): Resources | undefined {
    return this.#quotas.get(team)
  }

  /** Updates the usage after the change of one task. */
  change (before: Task | undefined, after: Task | undefined): void {
    if (before?.placement !== undefined) this.#count(before, subtractResources)
    if (after?.placement !== undefined) this.#count(after, addResources)
  }

  /**
   * Largest share of its quota that the team has committed, over all dimensions. A team without
   * quota is measured against `cellSize`, the capacity of the whole cell.
   */
  dominantShare (team: TeamName, cellSize: Resources): number {
    const used = this.#usageOf(team).total
    const quota = this.#quotas.get(team) ?? cellSize
    let share = 0
    for (const dimension of RESOURCE_DIMENSIONS) {
      if (quota[dimension] > 0) share = Math.max(share, used[dimension] / quota[dimension])
    }
    return share
  }

  /**
   * Whether one more task stays within the quota. Batch work that is not urgent does not count against an
   * urgent task, as it is evicted for the team's own urgent work. A team that uses nothing may start one task
   * of any size: its quota is divided among the cells, and a large job might otherwise never start.
   */
  isWithinQuota (team: TeamName, wanted: Resources, isUrgent: boolean): boolean {
    const quota = this.#quotas.get(team)
    if (quota === undefined) return true
    const { total, batch } = this.#usageOf(team)
    const counted = isUrgent ? subtractResources(total, batch) : total
    if (counted.processors <= 0 && counted.memoryMb <= 0) return true
    const after = addResources(counted, wanted)
    // Accelerators are limited only if the quota contains any.
    return after.processors <= quota.processors && after.memoryMb <= quota.memoryMb &&
      (quota.accelerators === 0 || after.accelerators <= quota.accelerators)
  }

  #usageOf (team: TeamName): Usage {
    return this.#usage.get(team) ?? NO_USAGE
  }

  #count ({ spec }: Task, combine: (left: Resources, right: Resources) => Resources): void {
    const { total, batch } = this.#usageOf(spec.team)
    const isBatch = spec.kind === 'batch' && !spec.isUrgent
    this.#usage.set(spec.team, {
      total: combine(total, spec.resources),
      batch: isBatch ? combine(batch, spec.resources) : batch
    })
  }
}
