/**
 * Branded identifiers: strings and numbers that the compiler distinguishes by type.
 */

/** A primitive `Value` that is assignable only where the same `Brand` is expected. */
export type Branded<Value, Brand extends string> = Value & { readonly __brand: Brand }

/** A VM as the platform's VM list names it. */
export type VmId = Branded<string, 'VmId'>
/** A rack of VMs that share a switch and power. */
export type RackId = Branded<string, 'RackId'>
/** A data centre's name, as in the settings and the VM list. */
export type DataCentre = Branded<string, 'DataCentre'>
/** One scheduling partition: some racks of one data centre. */
export type CellId = Branded<string, 'CellId'>
/** One process of auburnpin; stable over a restart of the same entry VM. */
export type MemberId = Branded<string, 'MemberId'>
/** One task: a batch task, a standing watch, or a replica of a service. */
export type TaskId = Branded<string, 'TaskId'>
/** A service's name in the configuration. */
export type ServiceName = Branded<string, 'ServiceName'>
/** A team's name in the configuration; quotas belong to teams. */
export type TeamName = Branded<string, 'TeamName'>
/** An endpoint: one running replica of a service. */
export type EndpointId = Branded<string, 'EndpointId'>
/** Who sends a request: the `auburnpin-caller` header, or the remote address without it. */
export type CallerId = Branded<string, 'CallerId'>
/** One request of a caller. */
export type RequestId = Branded<string, 'RequestId'>
/** One unbroken period during which a worker's lease was held. */
export type LeaseSession = Branded<string, 'LeaseSession'>
/** A release note's id; a note is applied once per id. */
export type NoteId = Branded<string, 'NoteId'>
/** One transaction on the platform's table service. */
export type TransactionId = Branded<string, 'TransactionId'>

/** A job: steps of tasks that a client submits together. */
export type JobId = Branded<string, 'JobId'>
/** A worker: the agent on one VM, by the key of its list entry. */
export type WorkerId = Branded<string, 'WorkerId'>
/** A queue of jobs, by the name that the configuration gives it. */
export type QueueName = Branded<string, 'QueueName'>

/** One incarnation of a worker: the Unix millisecond of its start. An incarnation keeps no state of the one before. */
export type Incarnation = Branded<number, 'Incarnation'>
/** Number of an ownership term of a cell; it rises with each term. */
export type Epoch = Branded<number, 'Epoch'>
/** Ordinal number of an attempt of a task, from 1. */
export type Attempt = Branded<number, 'Attempt'>
/** Version of the configuration, from 0 (empty) upwards. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>
/** Version of a row of the table service. */
export type RowVersion = Branded<number, 'RowVersion'>
/** Position of a record in a cell's journal, from 1. */
export type JournalSequence = Branded<number, 'JournalSequence'>
/** Monotonic time in milliseconds; only differences are meaningful. */
export type Instant = Branded<number, 'Instant'>

/**
 * Brands a primitive; all branding goes through this function.
 *
 * @example
 * const vm = brand<VmId>('vm-1')
 */
export const brand = <Brand extends string | number>(value: Brand extends string ? string : number): Brand =>
  value as unknown as Brand
