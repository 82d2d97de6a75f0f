/**
 * All metrics; docs/METRICS.md is generated from this table.
 */

/** Meaning of a metric and, as `worry`, when it needs attention. */
export type MetricDefinition = Readonly<{
  type: 'count' | 'gauge' | 'timing'
  unit: string
  /** Names of its tags beside `member`, which every metric has. */
  tags: readonly string[]
  meaning: string
  worry: string
}>

const define = <Name extends string>(definitions: Readonly<Record<Name, MetricDefinition>>): Readonly<Record<Name, MetricDefinition>> => definitions

/** All metrics, by name without the prefix `auburnpin.`. */
export const METRICS = define({
  'requests.answered': { type: 'count', unit: 'requests', tags: ['service'], meaning: 'Requests whose answer came from an endpoint.', worry: 'Falls while callers still come.' },
  'requests.refused': { type: 'count', unit: 'requests', tags: ['service'], meaning: 'Requests that no endpoint answered, told as not-run or unknown.', worry: 'Above 1 % of answered for five minutes.' },
  'requests.duration': { type: 'timing', unit: 'milliseconds', tags: ['service'], meaning: 'From the arrival of a request to the end of its answer, of those answered; the tail latency of the service.', worry: '99th percentile above the service\'s objectiveMs.' },
  'tasks.started': { type: 'count', unit: 'attempts', tags: ['cell'], meaning: 'Attempts that were assigned to a VM.', worry: 'Far above tasks.finished: attempts fail or are moved.' },
  'tasks.finished': { type: 'count', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that finished; the batch throughput.', worry: 'Zero while the queue is not empty.' },
  'tasks.evicted': { type: 'count', unit: 'attempts', tags: ['cell', 'reason'], meaning: 'Attempts stopped to run again elsewhere, by reason.', worry: 'Steady evictions on the same cell.' },
  'tasks.suspected': { type: 'count', unit: 'attempts', tags: ['cell'], meaning: 'Attempts that were lost in a crash of their worker soon after they were sent to it.', worry: 'Rises without failures of VMs: a task crashes its workers; the log record `Worker crashed` names the suspects.' },
  'tasks.givenUp': { type: 'count', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that failed because three workers in a row crashed soon after they had been sent the task.', worry: 'Any; `auburnpin explain TASK` names the VMs.' },
  'queue.length': { type: 'gauge', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that wait for a VM.', worry: 'Rises for an hour.' },
  'queue.age': { type: 'gauge', unit: 'seconds', tags: ['cell'], meaning: 'Age of the submitted job that has waited longest.', worry: 'Above the time in which the team expects its work.' },
  'table.writes': { type: 'count', unit: 'transactions', tags: ['class'], meaning: 'Transactions sent to the table service, the write budget in use.', worry: 'The sum over all members nears the platform\'s rate.' },
  'table.reads': { type: 'count', unit: 'reads', tags: ['class'], meaning: 'Reads and lists sent to the table service.', worry: 'The sum over all members nears the platform\'s rate.' },
  'lease.age': { type: 'gauge', unit: 'milliseconds', tags: [], meaning: 'Time since this member last renewed its own lease.', worry: 'Above 6000: the lease lapses at 9000.' },
  'config.version': { type: 'gauge', unit: 'version', tags: [], meaning: 'Version of the configuration in force here.', worry: 'Members differ for more than 5 seconds.' },
  'config.lag': { type: 'timing', unit: 'milliseconds', tags: [], meaning: 'From the acceptance of a version to its being in force here, by wall clocks.', worry: 'Above 5000.' },
  'evacuation.dataCentres': { type: 'gauge', unit: 'data centres', tags: [], meaning: 'Data centres that are evacuated by the configuration in force here.', worry: 'Members differ for more than 5 seconds, or above 0 after the works are done.' },
  'evacuation.tasks': { type: 'gauge', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that are still placed in a cell of an evacuated data centre, at the cell\'s owner; 0 once after the restoration.', worry: 'Rises: new work is assigned there.' },
  'clients.answered': { type: 'count', unit: 'requests', tags: ['method', 'status'], meaning: 'Requests of clients that submit jobs or ask for them, by the answer\'s status.', worry: '503 or 504 above 1 % for a minute.' },
  'clients.duration': { type: 'timing', unit: 'milliseconds', tags: ['method'], meaning: 'From a request of such a client to its answer.', worry: '99th percentile above 100 ms on a calm day.' },
  'jobs.admitted': { type: 'count', unit: 'jobs', tags: ['queue', 'why'], meaning: 'Jobs that admission control accepted, by the reason; none with AUBURNPIN_ADMISSION=off.', worry: '`no recent forecast` for more than 10 s: the owner doesn\'t publish, and nothing is refused.' },
  'jobs.refused': { type: 'count', unit: 'jobs', tags: ['queue', 'why'], meaning: 'Jobs refused at once because too much accepted work waits (`backlog`), because more tasks are open than an owner can keep (`memory`) or, with AUBURNPIN_ADMISSION=on, because they would wait too long to end usefully (`wait`).', worry: 'Above 0 for minutes: more workers are needed.' },
  'queue.forecastWait': { type: 'gauge', unit: 'milliseconds', tags: ['cell', 'queue'], meaning: 'Longest wait that the owner of a cell forecasts for a new job of the queue, over all sizes; only with AUBURNPIN_ADMISSION=on.', worry: 'Near the time in which the queue\'s jobs are useful.' },
  'tasks.drainTime': { type: 'gauge', unit: 'seconds', tags: ['cell', 'kind'], meaning: 'Time in which the owner of a cell would start all accepted work that waits, by service, for fillers and for other tasks; none with AUBURNPIN_ADMISSION=off.', worry: 'Above the slack of the queue\'s jobs: new ones are refused.' },
  'jobs.ended': { type: 'count', unit: 'jobs', tags: ['phase'], meaning: 'Jobs that completed, failed or were cancelled.', worry: 'Failed rises without bad jobs.' },
  'jobs.firstStart': { type: 'timing', unit: 'milliseconds', tags: [], meaning: 'From a job\'s acceptance to the first start of a task of it, by wall clocks.', worry: '99th percentile above 1 s while workers have room.' },
  'jobs.duration': { type: 'timing', unit: 'milliseconds', tags: ['phase'], meaning: 'From a job\'s acceptance to its end, by wall clocks.', worry: 'Beyond the queue\'s objective.' },
  'jobs.crashing': { type: 'count', unit: 'jobs', tags: [], meaning: 'Jobs that failed because workers were lost just after they had started one of their tasks.', worry: 'Above 0: the log record `Job fails, as workers are lost` names the task.' },
  'workers.unusable': { type: 'gauge', unit: 'workers', tags: [], meaning: 'Entries in the list of workers that are invalid or of a service that no configuration names; the record `Worker entry is invalid` says which and why.', worry: 'Above 0: find what writes them.' },
  'rows.leftOut': { type: 'count', unit: 'rows', tags: ['row'], meaning: 'Rows that an owner left out of a commit, as they would be longer than the store allows.', worry: 'Any; docs/RUNBOOK.md says what to do.' },
  'workers.lost': { type: 'count', unit: 'workers', tags: ['how'], meaning: 'Workers with runs that were silent until their lease was over, or that came back without their runs.', worry: 'Rises without a planned change.' },
  'workers.reborn': { type: 'count', unit: 'workers', tags: ['hasUnansweredLease'], meaning: 'Workers that came back under their ids as a later incarnation, and whether a call with a lease for the earlier one had no response.', worry: 'Rises without a planned change; the log record `Worker is reborn` names them.' },
  'runs.ordered': { type: 'count', unit: 'orders', tags: ['outcome'], meaning: 'Orders to start, by the worker\'s answer.', worry: 'Outcomes other than started above 2 %.' },
  'runs.ended': { type: 'count', unit: 'runs', tags: ['how'], meaning: 'Runs that ended, by how.', worry: 'Failed or lease over rises.' },
  'copies.started': { type: 'count', unit: 'runs', tags: ['reason'], meaning: 'Second runs of tasks whose first run was expected to end late, by reason: slow, or silent if its worker did not respond.', worry: 'Above 10 % of `runs.ordered`; the log record `Late run gets a copy` has the figures.' },
  'copies.ended': { type: 'count', unit: 'runs', tags: ['how'], meaning: 'Those that ended, by how; a copy that ended as done came first.', worry: 'Mostly stopped: copies gain nothing.' },
  'durations.learnt': { type: 'gauge', unit: 'kinds', tags: [], meaning: 'Pairs of queue and image whose durations the owner of a cell has learnt.', worry: '0 minutes after a change of owner while tasks end.' },
  'runs.paced': { type: 'count', unit: 'orders', tags: [], meaning: 'Orders that hold a filler or let it go on.', worry: 'Steadily as many as starts: fillers and serving tasks don\'t fit together.' },
  'owner.loopDelay': { type: 'gauge', unit: 'milliseconds', tags: ['cell'], meaning: 'Longest delay of a timer of the owner of a cell in the last two seconds.', worry: 'Above 100: the owner has too little processor time; the log record `Load of the owner` says what it spends it on.' },
  'owner.passTime': { type: 'gauge', unit: 'milliseconds', tags: ['cell'], meaning: 'Mean duration of a scheduling pass of the owner of a cell in the last two seconds.', worry: 'Above 50: tasks start late although workers have room.' },
  'tasks.waiting': { type: 'gauge', unit: 'tasks', tags: ['kind'], meaning: 'Tasks of jobs that wait for a worker, by kind: long-running, batch or filler.', worry: 'Long-running or batch above 0 for a minute.' },
  'tasks.longestWait': { type: 'gauge', unit: 'seconds', tags: ['kind'], meaning: 'For how long the step that waits longest has had tasks that wait.', worry: 'Above 10 for long-running tasks; the log record `Tasks wait for a worker` says why.' },
  'jobs.idle': { type: 'gauge', unit: 'jobs', tags: ['kind'], meaning: 'Jobs with tasks of this kind that wait, and without any run.', worry: 'Rises for a minute; the log record `Tasks that wait` says how late they are.' },
  'jobs.longestIdle': { type: 'gauge', unit: 'seconds', tags: ['kind'], meaning: 'For how long the job that has been idle for longest has had no run.', worry: 'Above 30 while runs start.' },
  'tasks.delayed': { type: 'gauge', unit: 'tasks', tags: [], meaning: 'Tasks that wait for the rack of their data or of their step although they could start elsewhere.', worry: 'High for minutes while jobs of the queue end too late: the data is in too few racks.' },
  'tasks.rackDecisions': { type: 'count', unit: 'steps', tags: ['decision'], meaning: 'Steps whose tasks did not fit into the rack that they prefer: delayed if some began to wait, else the reason why the first of them started elsewhere.', worry: 'Steadily rack-unavailable: no worker of the cell is in the rack of the data.' },
  'tasks.rackWait': { type: 'timing', unit: 'milliseconds', tags: [], meaning: 'From the time when tasks of a step began to wait for a rack to the start of its last task.', worry: '99th percentile above the objective of the queue.' },
  'tasks.interrupted': { type: 'gauge', unit: 'tasks', tags: [], meaning: 'Long-running tasks that ran before and have had no run for over a second.', worry: 'Above 0 for longer than 6 s.' },
  'tasks.longestInterruption': { type: 'gauge', unit: 'seconds', tags: [], meaning: 'For how long the longest of them has had no run; since the start of the term if it ended before.', worry: 'Above 6; the log record `Long-running task is interrupted` says why.' },
  'tasks.delegated': { type: 'count', unit: 'tasks', tags: ['cell'], meaning: 'Tasks without a place in their job\'s cell that were delegated to this other cell; only with several cells.', worry: 'Steadily: the cells are loaded very differently, or one has too few workers of a kind.' },
  'tasks.returned': { type: 'count', unit: 'tasks', tags: ['cell'], meaning: 'Delegated tasks that this cell gave back, as it had no place for them either.', worry: 'As many as tasks.delegated for minutes: no cell has workers that can run them.' },
  'reserve.workers': { type: 'gauge', unit: 'workers', tags: ['service'], meaning: 'Workers of a service that are closed to new long-running tasks, at the owner of a cell; only with AUBURNPIN_MAX_RESERVED_SHARE.', worry: 'At the largest share for minutes: too few workers for both loads.' },
  'reserve.usable': { type: 'gauge', unit: 'cores', tags: ['service'], meaning: 'Processors of these workers in pieces that a short task fits into, whether a short task uses them or not.', worry: 'Below the demand for minutes; the log record `Workers are reserved for short tasks` says what limits it.' },
  'reserve.largestFree': { type: 'gauge', unit: 'cores', tags: ['service', 'dataCentre'], meaning: 'Most free processors on one worker of a data centre, whether reserved or not.', worry: 'Below the size of a short task in one data centre for seconds: short tasks wait there.' },
  'reserve.demand': { type: 'gauge', unit: 'cores', tags: ['service'], meaning: 'Processors that short tasks need by the last waves of load; 0 while they find capacity without waiting.', worry: 'Above 0 on a calm day.' },
  'store.calls': { type: 'count', unit: 'calls', tags: ['call', 'outcome'], meaning: 'Calls to the store, by outcome.', worry: 'Outcomes other than ok above 1 %.' },
  'store.duration': { type: 'timing', unit: 'milliseconds', tags: ['call'], meaning: 'Time of a call to the store; a feed waits for changes.', worry: 'Transactions above 100 ms.' },
  'term.epoch': { type: 'gauge', unit: 'epoch', tags: ['cell'], meaning: 'Epoch of the term that this process holds of a cell, 0 without one.', worry: 'For one cell, several processes above 0 for more than 3 s, or none.' },
  'cell.workers': { type: 'gauge', unit: 'workers', tags: ['cell'], meaning: 'Workers of a cell, at its owner; only with several cells.', worry: 'Cells of very different sizes.' },
  'cell.load': { type: 'gauge', unit: 'percent', tags: ['cell'], meaning: 'Processors that running and waiting tasks of a cell need, of all that its workers have; only with several cells.', worry: 'One cell far above the others for more than 10 s.' },
  'cell.evacuatedWorkers': { type: 'gauge', unit: 'workers', tags: ['cell'], meaning: 'Workers of a cell in evacuated data centres, at its owner; absent until the first evacuation.', worry: 'Above 0 longer than planned.' },
  'cell.evacuatedRuns': { type: 'gauge', unit: 'runs', tags: ['cell'], meaning: 'Runs on those workers, which go on until they end.', worry: 'Rises.' },
  'runs.withheld': { type: 'count', unit: 'orders', tags: [], meaning: 'Orders to start that were decided and not sent, as the data centre had been evacuated meanwhile.', worry: 'Rises without an evacuation.' },
  'log.leftOut': { type: 'gauge', unit: 'records', tags: [], meaning: 'Log records left out since the start because there were too many of their kind.', worry: 'Rises on a calm day.' },
  'process.memory': { type: 'gauge', unit: 'bytes', tags: [], meaning: 'Resident memory of the process.', worry: 'Near the VM\'s limit.' },
  'invariants.broken': { type: 'gauge', unit: 'breaches', tags: [], meaning: 'Promises that would have been broken since the start; each action was refused.', worry: 'Any. Report it with the log.' }
})
