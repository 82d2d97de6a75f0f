/**
 * Load and faults of a region as data that `fast-check` generates and shrinks.
 */
import fc from 'fast-check'

/** One event and the time that passes before it. */
export type SoakStep = Readonly<{ afterSeconds: number, event: SoakEvent }>

/** Load, faults and operators' actions. Indexes are taken modulo the number of members or VMs. */
export type SoakEvent =
  | Readonly<{ kind: 'submit', count: number, processors: number, seconds: number, isUrgent: boolean }>
  | Readonly<{ kind: 'cancel', count: number }>
  | Readonly<{ kind: 'notes', count: number, names: number }>
  | Readonly<{ kind: 'kill-member', member: number }>
  | Readonly<{ kind: 'restart-member', member: number }>
  | Readonly<{ kind: 'stop-member', member: number }>
  | Readonly<{ kind: 'pause-member', member: number, seconds: number }>
  | Readonly<{ kind: 'kill-vm', vm: number }>
  | Readonly<{ kind: 'drain-vm', vm: number }>
  | Readonly<{ kind: 'bad-worker', vm: number, seconds: number }>
  | Readonly<{ kind: 'store', fault: 'down' | 'slow' | 'failing' | 'losing-answers', seconds: number }>
  | Readonly<{ kind: 'cut-store', member: number, seconds: number }>
  | Readonly<{ kind: 'cut-members', member: number, other: number, seconds: number }>
  | Readonly<{ kind: 'cut-worker', vm: number, member: number | 'all', seconds: number }>
  | Readonly<{ kind: 'slow-worker', vm: number, seconds: number }>

const MAX_FAULT_SECONDS = 40
const index = fc.nat(99)
const seconds = fc.integer({ min: 1, max: MAX_FAULT_SECONDS })

const event: fc.Arbitrary<SoakEvent> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submit' as const), count: fc.integer({ min: 1, max: 20 }), processors: fc.constantFrom(1, 2, 4, 8, 64), seconds: fc.integer({ min: 1, max: 60 }), isUrgent: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), count: fc.integer({ min: 1, max: 20 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('notes' as const), count: fc.integer({ min: 1, max: 6 }), names: fc.integer({ min: 1, max: 4 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill-member' as const), member: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart-member' as const), member: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('stop-member' as const), member: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause-member' as const), member: index, seconds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill-vm' as const), vm: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain-vm' as const), vm: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('bad-worker' as const), vm: index, seconds }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('store' as const), fault: fc.constantFrom('down' as const, 'slow' as const, 'failing' as const, 'losing-answers' as const), seconds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut-store' as const), member: index, seconds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut-members' as const), member: index, other: index, seconds }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut-worker' as const), vm: index, member: fc.oneof(index, fc.constant('all' as const)), seconds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('slow-worker' as const), vm: index, seconds }) }
)

/** A history of at most `maxSteps` steps. */
export const soakSteps = (maxSteps: number): fc.Arbitrary<SoakStep[]> =>
  fc.array(fc.record({ afterSeconds: fc.integer({ min: 0, max: 15 }), event }), { maxLength: maxSteps, size: 'max' })
