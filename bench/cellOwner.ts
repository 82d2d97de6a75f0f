/**
 * Processor time and memory of a cell's owner as a function of the number of VMs, with 22 tasks on each VM: a real
 * member over real sockets, with a region of stand-ins in a separate process. The argument is the number of VMs; prints
 * one JSON line.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { SilentLog } from '@auburnpin/common'
import { Member } from '../app/src/Member.ts'
import { OperatorClient } from '../app/src/OperatorClient.ts'
import { settingsSchema } from '../app/src/settings/settingsSchema.ts'

const VMS = Number(process.argv[2] ?? 50)
const TASKS_PER_VM = 22
const MAX_START_MS = 90_000
const MEASURED_MS = 20_000
const POLL_MS = 500
const TOKEN = 'bench-operator-token'
const MAIN = fileURLToPath(new URL('../app/src/main.ts', import.meta.url))

const startStandIn = async (vms: number): Promise<{ process: ChildProcess, platform: string }> => {
  const child = spawn(process.execPath, ['--import', 'tsx', MAIN, 'stand-in', '--port', '0', '--control-port', '0', '--workers', String(vms), '--data-centres', 'colombo'], { stdio: ['ignore', 'pipe', 'inherit'] })
  const platform = await new Promise<string>(resolve => {
    child.stdout?.on('data', (chunk: Buffer) => {
      const found = /platform at (\S+)/.exec(chunk.toString())?.[1]
      if (found !== undefined) resolve(found)
    })
  })
  return { process: child, platform }
}

const settingsOf = (platform: string) => settingsSchema.parse({
  member: 'bench-1',
  region: { name: 'bench', dataCentres: ['colombo'] },
  dataCentre: 'colombo',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'bench', secret: 'bench-peer-secret-0' }],
  operators: [{ operator: 'bench', token: TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})

const noteOf = (tasks: number): object => {
  const declared: Record<string, object> = {}
  for (let index = 0; index < tasks; index++) {
    declared[`watch-${index}`] = { kind: 'watch', team: 'desk', resources: { processors: 0.5, memoryMb: 100 }, command: 'watch' }
  }
  return { id: 'bench-1', added: { teams: { desk: { quota: { processors: 1_000_000, memoryMb: 1_000_000_000 } } }, tasks: declared } }
}

const countRunning = async (operator: OperatorClient): Promise<number> => {
  const listed = await operator.call<{ tasks: ReadonlyArray<{ state: string }> }>('GET', '/v1/jobs')
  return listed.ok ? listed.val.tasks.filter(task => task.state === 'running').length : 0
}

const measure = async (vms: number): Promise<object> => {
  const standIn = await startStandIn(vms)
  const member = new Member(settingsOf(standIn.platform), new SilentLog())
  const { operators } = await member.start()
  const operator = new OperatorClient(operators ?? '', TOKEN)
  const tasks = vms * TASKS_PER_VM
  while ((await operator.call('POST', '/v1/notes', noteOf(tasks))).err) await new Promise(resolve => setTimeout(resolve, POLL_MS))
  const startedAt = performance.now()
  let running = 0
  while (running < tasks && performance.now() - startedAt < MAX_START_MS) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
    running = await countRunning(operator)
  }
  const settledSeconds = Math.round((performance.now() - startedAt) / 1_000)
  const before = process.cpuUsage()
  await new Promise(resolve => setTimeout(resolve, MEASURED_MS))
  const used = process.cpuUsage(before)
  const memoryMb = Math.round(process.memoryUsage().rss / 1024 / 1024)
  operator.close()
  standIn.process.kill('SIGTERM')
  const corePercent = Number(((used.user + used.system) / 1_000 / MEASURED_MS * 100).toFixed(2))
  return { bench: 'cellOwner', vms, tasks, running, settledSeconds, corePercent, memoryMb }
}

// Each process measures one size, since memory of an earlier size would not be returned to the system.
process.stdout.write(`${JSON.stringify(await measure(VMS))}\n`)
process.exit(0)
