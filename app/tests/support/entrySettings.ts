/**
 * Settings of one member with both roles, for tests that start it as a process of its own.
 */

/** What tests differ in. */
export type EntryDifferences = Readonly<{ platform: string, token: string, peerSecret: string }>

/** Settings of `entry-1` in a region of one data centre; every listener takes any free port. */
export const entrySettings = ({ platform, token, peerSecret }: EntryDifferences): object => ({
  member: 'entry-1',
  region: { name: 'lk-west', dataCentres: ['colombo'] },
  dataCentre: 'colombo',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: peerSecret }],
  operators: [{ operator: 'tester', token }],
  platform: { table: platform, objects: platform, vmList: platform }
})
