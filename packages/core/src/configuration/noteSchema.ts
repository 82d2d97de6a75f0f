/**
 * The schema of a release note. The JSON schema for editors is generated from it.
 */
import { z } from 'zod'

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/

/** A name: lower-case letters, digits and dashes, starting with a letter, at most 63 characters. */
export const nameSchema = z.string().regex(NAME_PATTERN, 'must be lower-case letters, digits and dashes, starting with a letter')

/** Resources as an operator writes them. */
export const resourcesSchema = z.strictObject({
  processors: z.number().positive().describe('Cores; fractions are allowed.'),
  memoryMb: z.number().int().positive().describe('Memory in megabytes.'),
  accelerators: z.number().int().min(0).default(0).describe('Whole accelerator devices.')
})

/** A service's declaration. */
export const serviceSchema = z.strictObject({
  replicas: z.number().int().min(0).max(10_000).describe('How many endpoints the service has.'),
  resources: resourcesSchema.describe('Size of each replica.'),
  command: z.string().min(1).describe('What the worker runs for each replica.'),
  team: nameSchema.describe('Team whose quota it uses.'),
  slots: z.number().int().positive().default(8).describe('Requests that one endpoint works on at a time.'),
  connections: z.number().int().positive().default(64).describe('Connections that one endpoint takes.'),
  objectiveMs: z.number().positive().default(250).describe('Objective for the 99th percentile of answer times, in milliseconds.'),
  queueMs: z.number().positive().default(2_000).describe('Longest wait for a slot, in milliseconds.'),
  idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/)).default(['GET', 'HEAD', 'OPTIONS']).describe('Methods that may be sent again after an unknown outcome.')
})

/** A declared task. */
export const declaredTaskSchema = z.strictObject({
  kind: z.enum(['watch', 'batch']).describe('A watch runs until withdrawn; a batch task until it finishes.'),
  team: nameSchema.describe('Team whose quota it uses.'),
  resources: resourcesSchema.describe('Size of the task.'),
  command: z.string().min(1).describe('What the worker runs.'),
  isUrgent: z.boolean().default(false).describe('Whether it goes before other work and may evict it.')
})

/** A team's declaration. */
export const teamSchema = z.strictObject({ quota: resourcesSchema.describe('What the team may use at a time.') })

/** A VM's id as the platform's VM list writes it. */
export const vmNameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, 'must be a VM id of the VM list')

/** A drain's declaration. */
export const drainSchema = z.strictObject({
  reason: z.string().min(1).max(200).default('drained by an operator').describe('Why the VM shall be empty, for the audit trail.')
})

/** A data centre's name as the settings and the platform's VM list write it. */
export const dataCentreNameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, 'must be the name of a data centre')

const reasonSchema = z.string().min(1).max(200)

/** An evacuation's declaration. */
export const evacuationSchema = z.strictObject({ reason: reasonSchema.describe('Why the data centre gets no new work; `auburnpin status` shows it.') })

/** A limit's declaration. */
export const limitSchema = z.strictObject({ value: z.number().positive().describe('The limit.') })

const sectionsSchema = z.strictObject({
  services: z.record(nameSchema, serviceSchema).default({}).describe('Services by name.'),
  tasks: z.record(nameSchema, declaredTaskSchema).default({}).describe('Standing watches and batch tasks by name.'),
  teams: z.record(nameSchema, teamSchema).default({}).describe('Teams by name.'),
  limits: z.record(nameSchema, limitSchema).default({}).describe('Limits of the installation by name.'),
  drains: z.record(vmNameSchema, drainSchema).default({}).describe('VMs to empty, by their id in the VM list.'),
  evacuations: z.record(dataCentreNameSchema, evacuationSchema).default({}).describe('Data centres that get no new work, by name.')
})

const EMPTY_SECTIONS = { services: {}, tasks: {}, teams: {}, limits: {}, drains: {}, evacuations: {} }

const withdrawnSchema = z.strictObject({
  services: z.array(nameSchema).default([]),
  tasks: z.array(nameSchema).default([]),
  teams: z.array(nameSchema).default([]),
  limits: z.array(nameSchema).default([]),
  drains: z.array(vmNameSchema).default([]),
  evacuations: z.array(dataCentreNameSchema).default([])
})

const EMPTY_WITHDRAWN = { services: [], tasks: [], teams: [], limits: [], drains: [], evacuations: [] }

/** A release note. */
export const noteSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/).describe('Unique id; the same id is applied once.'),
  base: z.number().int().min(0).optional().describe('Version the note was written against; later changes of the same names are conflicts.'),
  reason: reasonSchema.optional().describe('Why, for the audit trail.'),
  added: sectionsSchema.default(EMPTY_SECTIONS).describe('Names that are not there yet.'),
  changed: sectionsSchema.default(EMPTY_SECTIONS).describe('Names that are there, each with its whole new declaration; the same keys as under added.'),
  withdrawn: withdrawnSchema.default(EMPTY_WITHDRAWN).describe('Names to take away.')
})

/** A release note after its defaults were filled in. */
export type Note = z.infer<typeof noteSchema>
