/** What a process tells about itself. */
export { JsonLog } from './JsonLog.ts'
export { LineOutput, LineQueue, StandardOutput } from './LineQueue.ts'
