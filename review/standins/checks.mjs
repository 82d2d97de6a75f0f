/**
 * Checks of rules on the events of the workers.
 */

/**
 * TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if that end is taken note of then or
 * later and the worker's lease has not lapsed in between. Returns a line for each breach.
 */
export const findTwice = events => {
  const notedAt = new Map()
  const lapses = new Map()
  for (const { kind, at, worker, boot, task, run } of events) {
    if (kind === 'noted') notedAt.set(`${worker}#${boot}#${task}#${run}`, at)
    if (kind === 'lapsed') lapses.set(`${worker}#${boot}`, [...lapses.get(`${worker}#${boot}`) ?? [], at])
  }
  const running = new Map()
  const done = new Map()
  const breaches = []
  for (const { kind, at, worker, boot, task, run, how } of events) {
    if (kind === 'start') {
      const other = running.get(task)
      if (other !== undefined) breaches.push(`${task} runs twice: run ${other.run} on ${other.worker} and run ${run} on ${worker} at ${at} ms`)
      running.set(task, { worker, run })
      const end = done.get(task)
      if (end !== undefined) breaches.push(`${task} starts as run ${run} on ${worker} at ${at} ms, after run ${end.run} had ended done on ${end.worker} at ${end.at} ms; that end was taken note of at ${end.notedAt} ms`)
    }
    if (kind === 'end' || kind === 'crashed') {
      if (running.get(task)?.run === run) running.delete(task)
      const noted = notedAt.get(`${worker}#${boot}#${task}#${run}`)
      const isLapsed = (lapses.get(`${worker}#${boot}`) ?? []).some(lapse => lapse >= at && lapse <= noted)
      if (how === 'done' && noted !== undefined && !isLapsed) done.set(task, { worker, run, at, notedAt: noted })
    }
  }
  return breaches
}

/** Ends that workers have listed at least `ackMs` before `until`, and how many of them were not taken note of. */
export const findUnnoted = (events, until, ackMs) => {
  const noted = new Set()
  for (const { kind, worker, boot, task, run } of events) if (kind === 'noted') noted.add(`${worker}#${boot}#${task}#${run}`)
  let listed = 0
  let unnoted = 0
  for (const { kind, at, worker, boot, task, run } of events) {
    if (kind !== 'listed' || at > until - ackMs) continue
    listed++
    if (!noted.has(`${worker}#${boot}#${task}#${run}`)) unnoted++
  }
  return { listed, unnoted }
}

/**
 * The longest time between two moments in which a submission has nothing running although tasks of it are due that have not
 * ended done; `due` returns how many tasks are due at a moment.
 */
export const findStandstill = (events, id, due, from, to) => {
  let running = 0
  let done = 0
  let since
  let longest
  const look = at => {
    const isStanding = running === 0 && done < due(at)
    if (!isStanding) since = undefined
    else since ??= at
    if (since !== undefined && at >= from && at - Math.max(since, from) > (longest?.ms ?? 0)) longest = { ms: at - Math.max(since, from), at, done, due: due(at) }
  }
  const doneTasks = new Set()
  let isLooking = false
  for (const { kind, at, task, how } of events) {
    if (at > to) break
    if (!isLooking && at >= from) {
      isLooking = true
      look(from)
    }
    if (task?.startsWith(id) !== true || (kind !== 'start' && kind !== 'end' && kind !== 'crashed')) continue
    look(at)
    running += kind === 'start' ? 1 : -1
    if (kind === 'end' && how === 'done') doneTasks.add(task)
    done = doneTasks.size
    look(at)
  }
  if (!isLooking) look(from)
  look(to)
  return longest
}

/** Upper bound of the processors in use between two moments, if no run uses more than `cpu`. */
export const highestUse = (events, cpu, from, to) => {
  let running = 0
  let highest = 0
  for (const { kind, at } of events) {
    if (at > to) break
    if (kind === 'start') running++
    if (kind === 'end' || kind === 'crashed') running--
    if (at >= from) highest = Math.max(highest, running)
  }
  return Math.max(highest, running) * cpu
}

/** For each task of a submission that has run, the longest time without a run after one. */
export const findInterruptions = (events, id, until) => {
  const away = new Map()
  const longest = new Map()
  const note = (task, at) => {
    const since = away.get(task)
    if (since !== undefined) longest.set(task, Math.max(longest.get(task) ?? 0, at - since))
  }
  for (const { kind, at, task } of events) {
    if (task?.startsWith(id) !== true) continue
    if (kind === 'end' || kind === 'crashed') away.set(task, at)
    if (kind !== 'start') continue
    note(task, at)
    away.delete(task)
  }
  for (const task of away.keys()) note(task, until)
  return [...longest].map(([task, ms]) => ({ task, ms }))
}

/** ROUTE: starts on a worker without the label that the step requires. */
export const findMisplaced = events => events
  .filter(({ kind, requires, labels }) => kind === 'start' && requires !== undefined && !labels.includes(requires))
  .map(({ at, worker, boot, task, requires, labels }) => `${task} requires ${requires} and starts at ${at} ms on ${worker} (boot ${boot}), whose labels are ${labels.join(', ')}`)
