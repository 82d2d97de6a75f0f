/**
 * Follows a version of the configuration until every member has it in force.
 */
import type { MemberRow } from '@auburnpin/cluster'
import type { OperatorClient } from '../OperatorClient.ts'

/** How many members have reached a version. */
export type InForce = Readonly<{ version: number, reached: number, members: number }>

const LOOK_MS = 250
const MS_PER_SECOND = 1_000

/** Looks until all members have the version or `waitSeconds` have passed; tells each look to `report`. */
export const awaitInForce = async (client: OperatorClient, version: number, waitSeconds: number, report: (state: InForce) => void): Promise<InForce> => {
  const deadline = performance.now() + waitSeconds * MS_PER_SECOND
  let state: InForce = { version, reached: 0, members: 0 }
  for (;;) {
    const status = await client.call<{ members: readonly MemberRow[] }>('GET', '/v1/status')
    if (status.ok) state = countInForce(version, status.val.members)
    report(state)
    const isDone = state.members > 0 && state.reached === state.members
    if (isDone || performance.now() >= deadline) return state
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}

/** Counts the members whose rows name the version or a later one. */
export const countInForce = (version: number, members: readonly MemberRow[]): InForce => {
  const reached = members.filter(row => row.configVersion >= version).length
  return { version, reached, members: members.length }
}

/** One line for a person. */
export const describeInForce = ({ version, reached, members }: InForce): string => {
  const text = `Version ${version} in force at ${reached} of ${members} members`
  return reached === members ? `${text}.` : `${text}; a member tells it with its next lease renewal.`
}
