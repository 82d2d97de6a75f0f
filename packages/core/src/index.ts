/**
 * All decisions, without input, output, clock or chance of their own.
 */
export * from './constants.ts'
export * from './configuration/types.ts'
export * from './configuration/noteSchema.ts'
export { EMPTY_CONFIGURATION, mergeNote, type Merged } from './configuration/mergeNote.ts'
export type * from './cell/types.ts'
export { applyTransition, isFinal } from './cell/applyTransition.ts'
export { Cell } from './cell/Cell.ts'
export { CellState } from './cell/CellState.ts'
export { checkFormat, type CellSnapshot, type JournalRecord } from './cell/snapshot.ts'
export { declaredTasks } from './cell/declaredTasks.ts'
export { PlacementPolicy, type Candidate } from './placement/PlacementPolicy.ts'
export { Policy, type Relief } from './policy/Policy.ts'
export { PlainPolicy } from './policy/PlainPolicy.ts'
export { placeWaiting } from './policy/placeWaiting.ts'
export { SpreadPolicy } from './placement/SpreadPolicy.ts'
export { EndpointPool } from './routing/EndpointPool.ts'
