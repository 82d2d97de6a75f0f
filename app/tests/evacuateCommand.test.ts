import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import anyTest, { type TestFn } from 'ava'
import { stringify } from 'yaml'
import { Program, until } from './support/Program.ts'

type Region = Readonly<{ folder: string, operators: string, callers: string, control: string, programs: readonly Program[] }>
type Outcome = Readonly<{ code: number | null, output: string, errors: string }>
type ListedTask = Readonly<{ spec: { id: string }, attempt: number, state: string, placement?: { vm: string } }>

const test = anyTest as TestFn<Region>
const TOKEN = 'evacuate-operator-token'
const TERMINAL_COLUMNS = 80
/** The VMs of the second rack, which the stand-in puts into the second data centre. */
const BURTON_VMS = ['vm-003', 'vm-004']
const SIZE = { processors: 1, memoryMb: 100 }

const settingsOf = (platform: string): object => ({
  member: 'entry-1',
  region: { name: 'midlands', dataCentres: ['derby', 'burton'] },
  dataCentre: 'derby',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: 'evacuate-peer-secret' }],
  operators: [{ operator: 'morning-shift', token: TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})

const NOTE = {
  id: 'desk-1',
  added: {
    teams: { desk: { quota: { processors: 1_000, memoryMb: 1_000_000 } } },
    services: { 'wayleave-desk': { replicas: 2, resources: SIZE, command: 'serve 1', team: 'desk' } }
  }
}

const run = async ({ operators }: Region, ...args: string[]): Promise<Outcome> => {
  const program = new Program(...args, '--address', operators, '--token', TOKEN)
  const code = await program.exit()
  return { code, output: program.output, errors: program.errors }
}

const call = async ({ operators }: Region, method: string, path: string, body?: unknown): Promise<unknown> =>
  await (await fetch(`http://${operators}${path}`, { method, headers: { authorization: `Bearer ${TOKEN}` }, body: JSON.stringify(body) })).json()

const submitJob = (region: Region): Promise<unknown> => call(region, 'POST', '/v1/jobs', { team: 'desk', command: 'watch', resources: SIZE })

/** Ids of the tasks that run on the given VMs, or on any VM. */
const listRunning = async (region: Region, vms?: readonly string[]): Promise<readonly string[]> => {
  const { tasks } = await call(region, 'GET', '/v1/jobs') as { tasks: readonly ListedTask[] }
  return tasks.filter(({ state, placement }) => state === 'running' && (vms === undefined || vms.includes(placement?.vm ?? ''))).map(({ spec }) => spec.id)
}

const setStore = async ({ control }: Region, kind: 'down' | 'none'): Promise<void> => {
  await fetch(`http://${control}/store`, { method: 'PUT', body: JSON.stringify({ kind }) })
}

test.before(async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const standIn = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '4', '--workers-per-rack', '2', '--data-centres', 'derby,burton')
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsOf(await standIn.find(/platform at (\S+)/))))
  const control = await standIn.find(/faults at ([^;]+);/)
  const member = new Program('serve', '--settings', file)
  const operators = await member.find(/"operators":"([^"]+)"/)
  const callers = await member.find(/"callers":"([^"]+)"/)
  t.context = { folder, operators, callers, control, programs: [member, standIn] }
  const note = join(folder, 'note.yaml')
  writeFileSync(note, stringify(NOTE))
  await until(async () => (await run(t.context, 'apply', note)).code === 0)
  await until(async () => /wayleave-desk +2 /.test((await run(t.context, 'status')).output))
})

test.after.always(t => {
  for (const program of t.context.programs) program.signal('SIGKILL')
  rmSync(t.context.folder, { recursive: true })
})

test.serial('an evacuated data centre is shown with reason and date, keeps its endpoints, and gets no new job', async t => {
  const evacuated = await run(t.context, 'evacuate', 'burton', '--reason', 'power works')
  t.is(evacuated.code, 0, evacuated.errors)
  t.regex(evacuated.output, /^\+ evacuations\.burton\nAccepted as version 2;/)
  const { output } = await run(t.context, 'status')
  t.regex(output, /\nevacuated burton since \d{4}-\d\d-\d\dT[\d:.]+Z: power works\n/)
  t.true(output.split('\n').every(line => line.length <= TERMINAL_COLUMNS))
  const status = JSON.parse((await run(t.context, 'status', '--json')).output) as { evacuations: unknown[] }
  t.like(status.evacuations[0], { dataCentre: 'burton', reason: 'power works' })
  for (let job = 0; job < 8; job++) await submitJob(t.context)
  await until(async () => (await listRunning(t.context)).length === 8 + 2)
  t.deepEqual(await listRunning(t.context, BURTON_VMS), ['wayleave-desk.0'])
  t.is((await fetch(`http://${t.context.callers}/wayleave-desk/draft`)).status, 200)
  t.regex((await run(t.context, 'status')).output, /wayleave-desk +2 +0 /)
})

test.serial('a repeated command, an unknown data centre, a missing reason and a command for an older version change nothing', async t => {
  const repeated = await run(t.context, 'evacuate', 'burton', '--reason', 'again')
  t.is(repeated.code, 2)
  t.regex(repeated.errors, /^invalid-request: evacuations\.burton already exists, declared by note "evacuate-/)
  const unknown = await run(t.context, 'evacuate', 'birmingham', '--reason', 'typo', '--json')
  t.is(unknown.code, 2)
  t.like(JSON.parse(unknown.errors), { kind: 'invalid-request', message: 'Data centre "birmingham" is not known: no VM and no member is in it' })
  t.is((await run(t.context, 'evacuate', 'derby')).code, 2)
  t.is((await run(t.context, 'restore', 'derby', '--reason', 'not evacuated')).code, 2)
  t.is((await run(t.context, 'restore', 'burton', '--reason', 'seen before', '--base', '1')).code, 3)
  t.regex((await run(t.context, 'status')).output, /^configuration version 2,/)
})

test.serial('the store is unavailable when the command is given: exit code 4, and the command can be given again afterwards', async t => {
  await setStore(t.context, 'down')
  const failed = await run(t.context, 'restore', 'burton', '--reason', 'power is back')
  t.is(failed.code, 4, failed.errors)
  await setStore(t.context, 'none')
  await until(async () => (await run(t.context, 'restore', 'burton', '--reason', 'power is back')).code === 0)
  const { output } = await run(t.context, 'audit', '--limit', '2')
  t.regex(output, /^version 3 .*morning-shift {2}note restore-.*\n {2}reason: power is back\n {2}- evacuations\.burton\nversion 2 .*\n {2}reason: power works\n {2}\+ evacuations\.burton\n/)
})

test.serial('a restored data centre takes new work again', async t => {
  t.notRegex((await run(t.context, 'status')).output, /evacuated/)
  await until(async () => {
    await submitJob(t.context)
    return (await listRunning(t.context, BURTON_VMS)).length > 1
  })
  t.pass()
})
