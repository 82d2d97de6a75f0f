/**
 * The gateway role: callers' requests to endpoints, operators' requests to actions.
 */
export * from './constants.ts'
export { CallerServer, type CallerPorts } from './CallerServer.ts'
export { OperatorServer, STATUS_OF_KIND, type OperatorToken } from './OperatorServer.ts'
export { SlotQueue } from './SlotQueue.ts'
export { forwardRequest, endToEndHeaders, type ForwardCall, type ForwardFault } from './forwardRequest.ts'
export { ACTIONS } from './actions/actions.ts'
export { Action, type ActionAnswer, type ActionPorts, type ActionRequest } from './actions/Action.ts'
export type { CellStatus } from './actions/StatusAction.ts'
export { findTask, type FoundTask } from './actions/findTask.ts'
export { jobSchema } from './actions/SubmitJobAction.ts'
