/**
 * Waits until a configuration version is in force at every member.
 */
import type { MemberRow } from '@auburnpin/cluster'
import type { OperatorClient } from '../OperatorClient.ts'

/** Number of members at which a version is in force. */
export type InForceCount = Readonly<{ version: number, reached: number, members: number }>

const POLL_INTERVAL_MS = 250
const MS_PER_SECOND = 1_000

/** Polls until all members have the version or `waitSeconds` have passed; calls `report` after each poll. */
export const awaitInForce = async (client: OperatorClient, version: number, waitSeconds: number, report: (state: InForceCount) => void): Promise<InForceCount> => {
  const deadline = performance.now() + waitSeconds * MS_PER_SECOND
  let state: InForceCount = { version, reached: 0, members: 0 }
  for (;;) {
    const status = await client.call<{ members: readonly MemberRow[] }>('GET', '/v1/status')
    if (status.ok) state = countInForce(version, status.val.members)
    report(state)
    const isDone = state.members > 0 && state.reached === state.members
    if (isDone || performance.now() >= deadline) return state
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

/** Counts the members whose rows contain this version or a later one. */
export const countInForce = (version: number, members: readonly MemberRow[]): InForceCount => {
  const reached = members.filter(row => row.configVersion >= version).length
  return { version, reached, members: members.length }
}

/** Formats the count as one line. */
export const formatInForce = ({ version, reached, members }: InForceCount): string => {
  const text = `Version ${version} in force at ${reached} of ${members} members`
  return reached === members ? `${text}.` : `${text}; each member reports its version with its next lease renewal.`
}
