/**
 * Control overhead as a function of the number of members: processor time, memory, bytes over loopback, calls to the
 * table, and the time from a note's acceptance until it is in force at every member. The argument is the number of
 * members; prints one JSON line. All members run in this process; nothing else should use the loopback interface
 * meanwhile.
 */
import { readFileSync } from 'node:fs'
import { SilentLog } from '@auburnpin/common'
import { StandInRegion } from '@auburnpin/stand-in'
import { Member } from '../app/src/Member.ts'
import { OperatorClient } from '../app/src/OperatorClient.ts'
import { settingsSchema } from '../app/src/settings/settingsSchema.ts'

const MEMBERS = Number(process.argv[2] ?? 3)
const DATA_CENTRES = ['colombo', 'negombo', 'kalutara']
const WARM_UP_MS = 20_000
const MEASURED_MS = 20_000
const NOTES = 20
const TOKEN = 'bench-operator-token'
const POLL_MS = 2

const settingsOf = (index: number, platform: string) => settingsSchema.parse({
  member: `bench-${index}`,
  region: { name: 'bench', dataCentres: DATA_CENTRES },
  dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'bench', secret: 'bench-peer-secret-0' }],
  operators: [{ operator: 'bench', token: TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})

const loopbackBytes = (): number => {
  const line = readFileSync('/proc/net/dev', 'utf8').split('\n').find(candidate => candidate.trim().startsWith('lo:')) ?? ''
  return Number(line.trim().split(/\s+/)[1] ?? 0)
}

const wait = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs))

const region = new StandInRegion({ dataCentres: DATA_CENTRES, workers: 3, workersPerRack: 1, room: { processors: 8, memoryMb: 8_000, accelerators: 0 } })
const platform = await region.start()
const members: Member[] = []
const operators: string[] = []
for (let index = 0; index < MEMBERS; index++) {
  const member = new Member(settingsOf(index, platform), new SilentLog())
  members.push(member)
  operators.push((await member.start()).operators ?? '')
}
await wait(WARM_UP_MS)

const calls = region.platform.calls
const bytes = loopbackBytes()
const cpu = process.cpuUsage()
await wait(MEASURED_MS)
const used = process.cpuUsage(cpu)
const seconds = MEASURED_MS / 1_000
const overhead = {
  corePercentEach: Number(((used.user + used.system) / 1_000 / MEASURED_MS * 100 / MEMBERS).toFixed(2)),
  memoryMbEach: Math.round(process.memoryUsage().rss / 1024 / 1024 / MEMBERS),
  loopbackBytesPerSecondEach: Math.round((loopbackBytes() - bytes) / seconds / MEMBERS),
  tableWritesPerSecond: Number(((region.platform.calls.writes - calls.writes) / seconds).toFixed(1)),
  tableReadsPerSecond: Number(((region.platform.calls.reads - calls.reads) / seconds).toFixed(1))
}

const inForceMs: number[] = []
for (let note = 1; note <= NOTES; note++) {
  const operator = new OperatorClient(operators[note % MEMBERS] ?? '', TOKEN)
  const applied = await operator.call<{ version: number }>('POST', '/v1/notes', { id: `note-${note}`, added: { teams: { [`team-${note}`]: { quota: { processors: 1, memoryMb: 1 } } } } })
  operator.close()
  if (applied.err) continue
  const acceptedAt = performance.now()
  while (!members.every(member => member.configuration.current.version >= applied.val.version)) await wait(POLL_MS)
  inForceMs.push(Math.round(performance.now() - acceptedAt))
}
inForceMs.sort((left, right) => left - right)
const propagation = { notes: inForceMs.length, inForceP50Ms: inForceMs[Math.floor(inForceMs.length / 2)], inForceMaxMs: inForceMs.at(-1) }
process.stdout.write(`${JSON.stringify({ bench: 'clusterControl', members: MEMBERS, ...overhead, ...propagation })}\n`)
process.exit(0)
