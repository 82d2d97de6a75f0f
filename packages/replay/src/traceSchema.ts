/**
 * The `zod` schemas of a trace's lines. Every line is one JSON object; times are in milliseconds from the start of
 * the replay.
 */
import { z } from 'zod'
import { nameSchema, resourcesSchema } from '@auburnpin/core'
import { SUMMARY_MEASURES } from './Summary.ts'

const atMs = z.number().int().min(0)
const share = z.number().min(0).max(1)
const loadBandsSchema = z.tuple([z.number(), z.number(), z.number()])

const regionSchema = z.strictObject({
  kind: z.literal('region'),
  name: nameSchema,
  seed: z.number().int(),
  durationMs: z.number().int().positive(),
  lagMs: z.number().int().positive().describe('Mean lag of usage samples.'),
  noise: z.number().min(0).default(0.1).describe('Deviation of the logarithm of measured response times.'),
  dataCentres: z.array(z.strictObject({
    name: nameSchema,
    vms: z.number().int().positive(),
    vmsPerRack: z.number().int().positive(),
    resources: resourcesSchema,
    acceleratorVms: z.number().int().min(0).default(0).describe('How many of the VMs have accelerators.'),
    accelerators: z.number().int().min(0).default(0).describe('Accelerators of each of those.')
  })).min(1)
})

const jobsSchema = z.strictObject({
  kind: z.literal('jobs'),
  atMs,
  overMs: z.number().int().min(0).default(0).describe('Time over which they are submitted.'),
  count: z.number().int().positive(),
  team: nameSchema,
  command: z.string().min(1),
  resources: resourcesSchema,
  runMs: z.number().positive().describe('Mean run time on the cores that are needed.'),
  usage: z.number().positive().default(1).describe('Cores needed per declared core.'),
  isUrgent: z.boolean().default(false),
  isWatch: z.boolean().default(false),
  fails: z.boolean().default(false)
})

const limitSchema = z.strictObject({ kind: z.literal('limit'), name: nameSchema, value: z.number().positive() })
const teamSchema = z.strictObject({ kind: z.literal('team'), name: nameSchema, quota: resourcesSchema })
const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  name: nameSchema,
  team: nameSchema,
  replicas: z.number().int().positive(),
  resources: resourcesSchema,
  objectiveMs: z.number().positive(),
  baseRatio: z.number().positive().describe('99th percentile over the objective of an idle replica on its own.')
})
const slowdownSchema = z.strictObject({
  kind: z.literal('slowdown'),
  service: nameSchema,
  command: z.string().min(1),
  perCore: loadBandsSchema.describe('Share added to response times by each core in use, at low, middle and high load.')
})
const loadSchema = z.strictObject({ kind: z.literal('load'), atMs, service: nameSchema, level: z.number().min(0).max(2), overMs: z.number().int().min(0).default(0) })
const cancelSchema = z.strictObject({ kind: z.literal('cancel'), atMs, command: z.string().min(1), share })
const rackLostSchema = z.strictObject({ kind: z.literal('rack-lost'), atMs, untilMs: z.number().int().positive(), rack: z.string() })
const workersFailSchema = z.strictObject({ kind: z.literal('workers-fail'), atMs, untilMs: z.number().int().positive(), vms: z.array(z.string()) })
const lagSchema = z.strictObject({ kind: z.literal('lag'), atMs, lagMs: z.number().int().positive() })
const outcomeSchema = z.strictObject({
  kind: z.literal('outcome'),
  measure: z.enum(SUMMARY_MEASURES),
  atMost: z.number().optional(),
  atLeast: z.number().optional()
}).refine(({ atMost, atLeast }) => atMost !== undefined || atLeast !== undefined, 'needs atMost or atLeast')

/** One line of a trace. */
export const traceLineSchema = z.discriminatedUnion('kind', [
  regionSchema, teamSchema, limitSchema, serviceSchema, slowdownSchema, loadSchema, jobsSchema, cancelSchema, rackLostSchema, workersFailSchema, lagSchema, outcomeSchema
])

/** One line with defaults applied. */
export type TraceLine = z.infer<typeof traceLineSchema>
/** A line of one kind. */
export type TraceLineOf<Kind extends TraceLine['kind']> = Extract<TraceLine, { kind: Kind }>
