/**
 * What new jobs are refused for: nothing; a backlog of accepted work that can't be started in time; or also the wait that
 * the owner forecasts for the job.
 */
export type AdmissionMode = 'off' | 'backlog' | 'waits'
