/**
 * The gateway role: routes callers' requests to endpoints and operators' requests to actions.
 */
export * from './constants.ts'
export { CallerServer, type CallerPorts } from './CallerServer.ts'
export { DEFAULT_LIMITS, type GatewayLimits } from './limits.ts'
export { OperatorServer, STATUS_OF_KIND, type OperatorToken } from './OperatorServer.ts'
export { ServiceRouter, type Slot } from './ServiceRouter.ts'
export { SessionTokens, type Session, type SessionKey } from './SessionTokens.ts'
export type * from './types.ts'
export { ACTIONS } from './actions/actions.ts'
export { Action, type ActionResponse, type ActionPorts, type ActionRequest } from './actions/Action.ts'
export type { CellStatus, EvacuationStatus } from './actions/StatusAction.ts'
export { findTask, type FoundTask } from './actions/findTask.ts'
export { jobSchema } from './actions/SubmitJobAction.ts'
