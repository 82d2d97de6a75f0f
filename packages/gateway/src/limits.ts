/**
 * The bounds on what callers may send and on how long anyone may keep still.
 */

/** Bounds of the listener for callers; times in milliseconds, sizes in bytes. */
export type GatewayLimits = Readonly<{
  maxHeaderBytes: number
  maxHeaders: number
  maxBodyBytes: number
  /** Most requests that wait for a slot of one service. */
  maxQueued: number
  /** Longest time for a caller to send its headers. */
  headersMs: number
  /** Longest silence of a caller, within a request or between two. */
  callerIdleMs: number
  /** Longest silence of an endpoint that works on a request. */
  endpointIdleMs: number
  /** Longest time to connect to an endpoint. */
  connectMs: number
}>

/** Bounds where the settings name no others. */
export const DEFAULT_LIMITS: GatewayLimits = {
  maxHeaderBytes: 16 * 1024,
  maxHeaders: 100,
  maxBodyBytes: 1024 * 1024 * 1024,
  maxQueued: 1_000,
  headersMs: 10_000,
  callerIdleMs: 60_000,
  endpointIdleMs: 60_000,
  connectMs: 2_000
}
