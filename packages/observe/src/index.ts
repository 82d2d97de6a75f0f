/** Logs and metrics of a process. */
export { JsonLog } from './JsonLog.ts'
export { LineOutput, LineQueue, StandardOutput } from './LineQueue.ts'
export { LogRateLimiter } from './LogRateLimiter.ts'
export { MetricsServer } from './MetricsServer.ts'
export { PrometheusMetrics } from './PrometheusMetrics.ts'
export { traceJob, type TracedRecord } from './traceJob.ts'
