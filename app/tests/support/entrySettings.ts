/**
 * Settings of a member with both roles, for tests that run it as a child process.
 */

/** Settings in which the tests differ. */
export type EntryOptions = Readonly<{ platform: string, token: string, peerSecret: string }>

/** Settings of `entry-1` in a region of one data centre; every listener uses any free port. */
export const entrySettings = ({ platform, token, peerSecret }: EntryOptions): object => ({
  member: 'entry-1',
  region: { name: 'lk-west', dataCentres: ['colombo'] },
  dataCentre: 'colombo',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: peerSecret }],
  operators: [{ operator: 'tester', token }],
  platform: { table: platform, objects: platform, vmList: platform }
})
