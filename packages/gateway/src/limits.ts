/**
 * Limits on what callers may send, and timeouts of callers and endpoints.
 */

/** Limits of the server for callers; times in milliseconds, sizes in bytes. */
export type GatewayLimits = Readonly<{
  maxHeaderBytes: number
  maxHeaders: number
  maxBodyBytes: number
  /** Most requests that wait for a slot of one service at this gateway. */
  maxQueued: number
  /** Longest time for a caller to send its headers. */
  headersMs: number
  /** Idle timeout of a caller's connection, within a request or between two. */
  callerIdleMs: number
  /** Idle timeout of an endpoint that works on a request. */
  endpointIdleMs: number
  /** Timeout for connecting to an endpoint. */
  connectMs: number
}>

/** Limits that apply where the settings don't override them. */
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
