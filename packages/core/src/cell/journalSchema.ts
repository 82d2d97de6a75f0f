/**
 * Schemas of journal records and snapshots, checked when they are read.
 */
import { z } from 'zod'
import type { TaskKind, TaskState, Transition } from './types.ts'

const resources = z.object({ processors: z.number(), memoryMb: z.number(), accelerators: z.number() })
const reason = z.looseObject({ kind: z.string() })
const attempt = z.int().min(0)

const KINDS: Readonly<Record<TaskKind, true>> = { replica: true, watch: true, batch: true }
const STATES: Readonly<Record<TaskState, true>> = {
  queued: true, starting: true, running: true, evicting: true, finished: true, failed: true, cancelled: true, unrunnable: true
}

// Loose objects keep fields that a neighbouring version of the program has added.
const spec = z.looseObject({
  id: z.string(),
  kind: z.enum(Object.keys(KINDS) as [TaskKind]),
  team: z.string(),
  resources,
  command: z.string(),
  acceptedAt: z.number()
})

const transitions = {
  accepted: z.looseObject({ kind: z.literal('accepted'), spec }),
  assigned: z.looseObject({ kind: z.literal('assigned'), task: z.string(), attempt, vm: z.string(), session: z.string() }),
  stopping: z.looseObject({ kind: z.literal('stopping'), task: z.string(), attempt, reason }),
  ended: z.looseObject({ kind: z.literal('ended'), task: z.string(), attempt, end: z.enum(['finished', 'failed', 'stopped', 'lost']), crash: z.enum(['suspect', 'bystander']).optional() }),
  survived: z.looseObject({ kind: z.literal('survived'), task: z.string(), attempt }),
  withdrawn: z.looseObject({ kind: z.literal('withdrawn'), task: z.string(), reason }),
  respecified: z.looseObject({ kind: z.literal('respecified'), task: z.string(), spec }),
  unrunnable: z.looseObject({ kind: z.literal('unrunnable'), task: z.string(), reason }),
  runnable: z.looseObject({ kind: z.literal('runnable'), task: z.string() }),
  forgotten: z.looseObject({ kind: z.literal('forgotten'), task: z.string() })
} satisfies Record<Transition['kind'], z.ZodType>

/** One record of the journal. */
export const recordSchema = z.looseObject({
  format: z.int(),
  epoch: z.int().min(1),
  configured: z.int().optional(),
  transitions: z.array(z.discriminatedUnion('kind', Object.values(transitions) as [typeof transitions.accepted]))
})

const placement = z.looseObject({ vm: z.string(), session: z.string(), isStopping: z.boolean() })

const task = z.looseObject({
  spec,
  state: z.enum(Object.keys(STATES) as [TaskState]),
  attempt,
  placement: placement.optional(),
  failures: z.int().min(0),
  crashedOn: z.array(z.string()).optional(),
  evictions: z.int().min(0),
  isWithdrawn: z.boolean()
})

/** A cell's tasks up to and including a journal record. */
export const snapshotSchema = z.looseObject({ format: z.int(), through: z.int().min(1), configured: z.int().optional(), tasks: z.array(task) })
