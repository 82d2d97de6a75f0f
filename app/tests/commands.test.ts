import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import anyTest, { type TestFn } from 'ava'
import { stringify } from 'yaml'
import { Program, until } from './support/Program.ts'

type Region = Readonly<{ folder: string, operators: string, control: string, programs: readonly Program[] }>
type Outcome = Readonly<{ code: number | null, output: string, errors: string }>

const test = anyTest as TestFn<Region>
const TOKEN = 'commands-operator-token'
const TERMINAL_COLUMNS = 80

const settingsOf = (platform: string): object => ({
  member: 'entry-1',
  region: { name: 'midlands', dataCentres: ['derby', 'burton'] },
  dataCentre: 'derby',
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'test', secret: 'commands-peer-secret' }],
  operators: [{ operator: 'morning-shift', token: TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})

const service = (replicas: number): object =>
  ({ replicas, resources: { processors: 1, memoryMb: 100 }, command: 'serve 1', team: 'desk' })

const DECLARATION_NOTE = {
  id: 'desk-1',
  added: {
    teams: { desk: { quota: { processors: 1_000, memoryMb: 1_000_000 } } },
    services: { 'wayleave-desk': service(2) },
    tasks: { 'route-watch': { kind: 'watch', team: 'desk', resources: { processors: 1, memoryMb: 100 }, command: 'watch' } }
  }
}

const runProgram = async (...args: string[]): Promise<Outcome> => {
  const program = new Program(...args)
  const code = await program.exit()
  return { code, output: program.output, errors: program.errors }
}

const runOperatorCommand = ({ operators }: Region, ...args: string[]): Promise<Outcome> =>
  runProgram(...args, '--address', operators, '--token', TOKEN)

const writeNote = ({ folder }: Region, note: Readonly<{ id: string }>): string => {
  const file = join(folder, `${note.id}.yaml`)
  writeFileSync(file, stringify(note))
  return file
}

test.before(async t => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  const standIn = new Program('stand-in', '--port', '0', '--control-port', '0', '--workers', '4', '--workers-per-rack', '2', '--data-centres', 'derby,burton')
  const file = join(folder, 'settings.yaml')
  writeFileSync(file, stringify(settingsOf(await standIn.find(/platform at (\S+)/))))
  const control = await standIn.find(/faults at ([^;]+);/)
  const member = new Program('serve', '--settings', file)
  const operators = await member.find(/"operators":"([^"]+)"/)
  t.context = { folder, operators, control, programs: [member, standIn] }
  await until(async () => (await runOperatorCommand(t.context, 'status')).output.includes('derby-0'))
})

test.after.always(t => {
  for (const program of t.context.programs) program.signal('SIGKILL')
  rmSync(t.context.folder, { recursive: true })
})

test.serial('apply prints the difference, then the accepted version, then the number of members at which it is in force', async t => {
  const note = writeNote(t.context, DECLARATION_NOTE)
  const dry = await runOperatorCommand(t.context, 'apply', note, '--dry-run')
  t.is(dry.code, 0)
  t.regex(dry.output, /^\+ services\.wayleave-desk\n[^]*nothing was applied\.\n$/)

  const applied = await runOperatorCommand(t.context, 'apply', note)
  t.is(applied.code, 0)
  const steps = ['+ services.wayleave-desk', 'Accepted as version 1.', 'Version 1 in force at 1 of 1 members.']
  t.deepEqual(applied.output.split('\n').filter(line => steps.includes(line)), steps)

  const changed = await runOperatorCommand(t.context, 'apply', writeNote(t.context, { id: 'desk-2', changed: { services: { 'wayleave-desk': service(3) } } } as { id: string }))
  t.regex(changed.output, /~ services\.wayleave-desk\n {4}replicas: 2 -> 3\nAccepted as version 2\./)

  const repeated = await runOperatorCommand(t.context, 'apply', note)
  t.is(repeated.code, 0)
  t.regex(repeated.output, /Was accepted before as version 1\./)
})

test.serial('a note based on an older version is refused with exit code 3 and the id of the conflicting note', async t => {
  const note = writeNote(t.context, { id: 'desk-late', base: 1, changed: { services: { 'wayleave-desk': service(5) } } } as { id: string })
  const refused = await runOperatorCommand(t.context, 'apply', note)
  t.is(refused.code, 3)
  t.regex(refused.errors, /^conflict: services\.wayleave-desk was changed by note "desk-2"/)
})

test.serial('status fits a terminal and shows members, cells and endpoints', async t => {
  await until(async () => /wayleave-desk +3 /.test((await runOperatorCommand(t.context, 'status')).output))
  const { code, output } = await runOperatorCommand(t.context, 'status')
  t.is(code, 0)
  t.regex(output, /entry-1 +derby +gateway\+scheduler +2 +ready/)
  t.regex(output, /burton-0 +entry-1/)
  t.true(output.split('\n').every(line => line.length <= TERMINAL_COLUMNS))
})

test.serial('a job with an idempotency key is submitted once, explained, listed and cancelled, whichever cell it is in', async t => {
  const submit = ['jobs', 'submit', '--team', 'desk', '--command', 'watch', '--processors', '64', '--key', 'draft-1', '--json']
  const first = await runOperatorCommand(t.context, ...submit)
  const second = await runOperatorCommand(t.context, ...submit)
  t.is(first.output, second.output)
  const { id } = JSON.parse(first.output) as { id: string }
  await until(async () => (await runOperatorCommand(t.context, 'explain', id)).output.includes('no VM of its cell is large enough; the largest offer 32 cores'))
  const list = await runOperatorCommand(t.context, 'jobs', 'list', '--state', 'unrunnable')
  t.regex(list.output, new RegExp(`${id} +batch +desk +unrunnable`))
  const cancelled = await runOperatorCommand(t.context, 'jobs', 'cancel', id, '--json')
  t.deepEqual(JSON.parse(cancelled.output), { id, state: 'cancelled', outcome: 'not-run' })
})

test.serial('declared tasks can be explained, and can be withdrawn only by a release note', async t => {
  for (const task of ['route-watch', 'wayleave-desk.0', 'wayleave-desk.1']) {
    const explained = await runOperatorCommand(t.context, 'explain', task)
    t.is(explained.code, 0, explained.errors)
    t.true(explained.output.startsWith(`${task} `))
  }
  const refused = await runOperatorCommand(t.context, 'jobs', 'cancel', 'route-watch')
  t.is(refused.code, 2)
  t.regex(refused.errors, /declared as a watch\. Withdraw it with a release note\./)
})

test.serial('a drained VM is emptied, stays empty, and is used again after --undo', async t => {
  const shown = JSON.parse((await runOperatorCommand(t.context, 'jobs', 'show', 'route-watch', '--json')).output) as { placement: { vm: string } }
  const { vm } = shown.placement
  t.is((await runOperatorCommand(t.context, 'drain', vm, '--reason', 'fan is loud')).code, 0)
  await until(async () => !(await runOperatorCommand(t.context, 'jobs', 'list')).output.includes(vm))
  await until(async () => (await runOperatorCommand(t.context, 'explain', 'route-watch')).output.includes('as attempt 2 after 1 eviction'))
  t.is((await runOperatorCommand(t.context, 'drain', vm, '--undo')).code, 0)
  // Each job nearly fills a VM, and there are enough of them to need both VMs of each cell.
  const draft = ['jobs', 'submit', '--team', 'desk', '--command', 'watch', '--processors', '29']
  for (let index = 0; index < 8; index++) t.is((await runOperatorCommand(t.context, ...draft, '--key', `large-${index}`)).code, 0)
  await until(async () => (await runOperatorCommand(t.context, 'jobs', 'list')).output.includes(vm))
  const audit = await runOperatorCommand(t.context, 'audit', '--limit', '2')
  t.regex(audit.output, new RegExp(`version 4 .*morning-shift.*\n {2}- drains\\.${vm}\nversion 3 .*\n {2}\\+ drains\\.${vm}\nOlder: auburnpin audit --before 3\n`))
  t.regex((await runOperatorCommand(t.context, 'audit', '--before', '3')).output, /^version 2 [^]*version 1 (?![^]*Older)/)
})

test.serial('an evacuated data centre is shown with reason and date, keeps its endpoints, and gets no new job', async t => {
  t.is((await runOperatorCommand(t.context, 'evacuate', 'burton', '--reason', 'power works')).code, 0)
  const { output } = await runOperatorCommand(t.context, 'status')
  t.regex(output, /\nevacuated burton since \d{4}-\d\d-\d\dT[\d:.]+Z: power works\n/)
  t.regex(output, /wayleave-desk +3 +0 /)
  for (let job = 0; job < 4; job++) t.regex((await runOperatorCommand(t.context, 'jobs', 'submit', '--team', 'desk', '--command', 'watch')).output, /^cell derby-0$/m)
})

test.serial('a repeated evacuation, an unknown data centre and an opposite command for an older version change nothing', async t => {
  const repeated = await runOperatorCommand(t.context, 'evacuate', 'burton', '--reason', 'again')
  t.is(repeated.code, 2)
  t.regex(repeated.errors, /^invalid-request: evacuations\.burton already exists, declared by note "evacuate-/)
  const unknown = await runOperatorCommand(t.context, 'evacuate', 'birmingham', '--reason', 'typo', '--json')
  t.is(unknown.code, 2)
  t.like(JSON.parse(unknown.errors), { message: 'Data centre "birmingham" is not known: no VM and no member is in it' })
  t.is((await runOperatorCommand(t.context, 'restore', 'burton', '--reason', 'seen before', '--base', '4')).code, 3)
  t.regex((await runOperatorCommand(t.context, 'status')).output, /^configuration version 5,/)
})

test.serial('the store is unavailable when a data centre is restored: exit code 4; the command given again is accepted and audited', async t => {
  const restore = ['restore', 'burton', '--reason', 'power is back']
  const setStore = (kind: string): Promise<unknown> => fetch(`http://${t.context.control}/store`, { method: 'PUT', body: JSON.stringify({ kind }) })
  await setStore('down')
  t.is((await runOperatorCommand(t.context, ...restore)).code, 4)
  await setStore('none')
  await until(async () => (await runOperatorCommand(t.context, ...restore)).code === 0)
  t.regex((await runOperatorCommand(t.context, 'audit', '--limit', '1')).output, /^version 6 .*\n {2}reason: power is back\n {2}- evacuations\.burton\n/)
  t.notRegex((await runOperatorCommand(t.context, 'status')).output, /evacuated/)
})

test.serial('a valid file, an unknown task, wrong usage and an unreachable member have their own exit codes', async t => {
  t.is((await runProgram('check', new URL('../../examples/lanka/settings-1.yaml', import.meta.url).pathname, '--json')).code, 0)
  const missing = await runOperatorCommand(t.context, 'explain', 'nothing', '--json')
  t.is(missing.code, 1)
  t.like(JSON.parse(missing.errors), { kind: 'not-found' })
  t.is((await runProgram('nonsense')).code, 2)
  t.is((await runProgram('status', '--address', '127.0.0.1:1')).code, 4)
})
