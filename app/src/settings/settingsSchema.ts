/**
 * The `zod` schema of a settings file.
 */
import { z } from 'zod'
import { nameSchema } from '@auburnpin/core'
import { DEFAULT_LIMITS } from '@auburnpin/gateway'

const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/

/** IP address and port; port 0 selects any free port. */
export const addressSchema = z.string().regex(ADDRESS_PATTERN, 'must be an IP address and a port, such as 10.0.0.1:8080')

const MIN_SECRET_CHARACTERS = 16

const secretSchema = z.string().min(MIN_SECRET_CHARACTERS, `must have at least ${MIN_SECRET_CHARACTERS} characters`)

const positiveIntegerSchema = z.number().int().positive()

/** Limits of the callers' listener. */
export const limitsSchema = z.strictObject({
  maxHeaderBytes: positiveIntegerSchema.default(DEFAULT_LIMITS.maxHeaderBytes).describe('Largest headers of one request, in bytes.'),
  maxHeaders: positiveIntegerSchema.default(DEFAULT_LIMITS.maxHeaders).describe('Most headers of one request.'),
  maxBodyBytes: positiveIntegerSchema.default(DEFAULT_LIMITS.maxBodyBytes).describe('Largest body of one request, in bytes.'),
  maxQueued: positiveIntegerSchema.default(DEFAULT_LIMITS.maxQueued).describe('Most requests that wait for a slot of one service.'),
  headersMs: positiveIntegerSchema.default(DEFAULT_LIMITS.headersMs).describe('Longest time for a caller to send its headers, in milliseconds.'),
  callerIdleMs: positiveIntegerSchema.default(DEFAULT_LIMITS.callerIdleMs).describe('Longest silence of a caller, within a request or between two, in milliseconds.'),
  endpointIdleMs: positiveIntegerSchema.default(DEFAULT_LIMITS.endpointIdleMs).describe('Longest silence of an endpoint that works on a request, in milliseconds.'),
  connectMs: positiveIntegerSchema.default(DEFAULT_LIMITS.connectMs).describe('Longest time to connect to an endpoint, in milliseconds.')
})

/** Settings of one process. */
export const settingsSchema = z.strictObject({
  member: nameSchema.describe('Id of this process, unique in the region.'),
  region: z.strictObject({
    name: nameSchema.describe('Name of the region.'),
    dataCentres: z.array(nameSchema).min(1).describe('All data centres of the region; the same in every process, and for the life of the installation.'),
    cellsPerDataCentre: z.number().int().min(1).max(64).default(1).describe('Scheduling partitions of each data centre; the same in every process, and for the life of the installation.')
  }),
  dataCentre: nameSchema.describe('The data centre of this process.'),
  roles: z.array(z.enum(['gateway', 'scheduler'])).min(1).describe('What this process does; one process may do both.'),
  listen: z.strictObject({
    callers: addressSchema.optional().describe('Where callers come in; needed for the role gateway.'),
    operators: addressSchema.optional().describe('Where operators come in; needed for the role gateway.'),
    peers: addressSchema.describe('Where other members come in.')
  }),
  peerKeys: z.array(z.strictObject({
    id: z.string().min(1).describe('Name of the key.'),
    secret: secretSchema.describe('The key; the same in every process.')
  })).min(1).describe('Keys that members prove to each other; the first is used, all are accepted.'),
  sessionKeys: z.array(z.strictObject({
    id: z.string().min(1).describe('Name of the key.'),
    secret: secretSchema.describe('The key; the same in every process.')
  })).min(1).optional().describe('Keys that sign session tokens, the same in every process; the first signs, all are accepted. Without them the peer keys are used.'),
  contacts: z.array(addressSchema).default([]).describe('Peer listeners of other entry VMs, asked when the process starts while the store is down.'),
  operators: z.array(z.strictObject({
    operator: z.string().min(1).describe('Name for the audit trail.'),
    token: secretSchema.describe('Sent as a bearer token.')
  })).default([]).describe('Who may use the operators\' listener.'),
  platform: z.strictObject({
    table: addressSchema.describe('Transactional table service.'),
    objects: addressSchema.describe('Object store.'),
    vmList: addressSchema.describe('VM list.')
  }),
  limits: limitsSchema.default(DEFAULT_LIMITS).describe('Bounds of what callers may send.'),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).describe('Least important records that are written.')
  }).default({ level: 'info' }).describe('JSON lines on standard error.'),
  metrics: z.strictObject({ address: addressSchema.describe('StatsD receiver.') }).optional().describe('Without it no metrics are sent.')
}).superRefine((settings, context) => {
  if (!settings.region.dataCentres.includes(settings.dataCentre)) {
    context.addIssue({ code: 'custom', path: ['dataCentre'], message: `is not one of region.dataCentres: ${settings.region.dataCentres.join(', ')}` })
  }
  if (!settings.roles.includes('gateway')) return
  for (const listener of ['callers', 'operators'] as const) {
    if (settings.listen[listener] === undefined) {
      context.addIssue({ code: 'custom', path: ['listen', listener], message: 'is missing; the role gateway needs it' })
    }
  }
})

/** Settings with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>
