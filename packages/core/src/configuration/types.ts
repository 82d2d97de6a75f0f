/**
 * The configuration: what operators have declared, and which note declared it.
 */
import type { ConfigVersion, DataCentre, NoteId, Resources, ServiceName, TaskId, TeamName, VmId } from '@auburnpin/common'

/** A service whose replicas answer callers' requests. */
export type Service = Readonly<{
  replicas: number
  resources: Resources
  /** What the worker runs for each replica. */
  command: string
  team: TeamName
  /** Requests that one endpoint works on at a time. */
  slots: number
  /** Connections that one endpoint takes. */
  connections: number
  /** Objective for the 99th percentile of response times, in milliseconds. */
  objectiveMs: number
  /** Longest time that a request may wait for a slot, in milliseconds. */
  queueMs: number
  /** Methods whose requests may be sent again after an unknown outcome. */
  idempotentMethods: readonly string[]
}>

/** A declared task: a standing watch runs until withdrawn, a batch task until it finishes. */
export type DeclaredTask = Readonly<{
  kind: 'watch' | 'batch'
  team: TeamName
  resources: Resources
  command: string
  isUrgent: boolean
}>

/** A team and what it may use at a time. */
export type Team = Readonly<{ quota: Resources }>

/** Limits that hold for the whole installation. */
export type Limit = Readonly<{ value: number }>

/** Drains a VM: it counts as leaving while this is declared. */
export type Drain = Readonly<{ reason: string }>

/** Closes a data centre for new work while this is declared; what runs there stays. */
export type Evacuation = Readonly<{
  reason: string
  /** Wall clock of the acceptance, milliseconds since 1970. A changed reason keeps it. */
  since: number
}>

/** A declaration with the note and the version that last changed it. */
export type Declared<Value> = Readonly<{ value: Value, changedBy: NoteId, changedIn: ConfigVersion }>

/** Everything declared, by name. */
export type Configuration = Readonly<{
  version: ConfigVersion
  /** Wall clock of the acceptance, milliseconds since 1970; absent before the first note. */
  acceptedAt?: number
  services: Readonly<Record<ServiceName, Declared<Service>>>
  tasks: Readonly<Record<TaskId, Declared<DeclaredTask>>>
  teams: Readonly<Record<TeamName, Declared<Team>>>
  limits: Readonly<Record<string, Declared<Limit>>>
  drains: Readonly<Record<VmId, Declared<Drain>>>
  evacuations: Readonly<Record<DataCentre, Declared<Evacuation>>>
}>

/** The sections of a configuration that contain declarations. */
export const CONFIGURATION_SECTIONS = ['services', 'tasks', 'teams', 'limits', 'drains', 'evacuations'] as const

/** Name of one of the sections. */
export type ConfigurationSection = typeof CONFIGURATION_SECTIONS[number]

/** One declaration that a note adds, changes or withdraws. */
export type ConfigurationChange = Readonly<{
  action: 'added' | 'changed' | 'withdrawn'
  section: ConfigurationSection
  name: string
  before?: unknown
  after?: unknown
}>

/** An entry of the audit trail. */
export type AuditEntry = Readonly<{
  version: ConfigVersion
  note: NoteId
  operator: string
  /** Wall clock, milliseconds since 1970. */
  acceptedAt: number
  /** Why, if the note says so. */
  reason?: string
  changes: readonly ConfigurationChange[]
}>
