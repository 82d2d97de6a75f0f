/**
 * Runs a region of stand-ins and one member per data centre in one process.
 */
import { SilentLog } from '@auburnpin/common'
import { StandInRegion } from '@auburnpin/stand-in'
import { Member, type MemberAddresses } from '../Member.ts'
import { OperatorClient } from '../OperatorClient.ts'
import { settingsSchema, type Settings } from '../settings/settingsSchema.ts'
import { OPERATOR_TOKEN, VM_MEMORY_MB, VM_PROCESSORS, VMS_PER_DATA_CENTRE } from './constants.ts'
import type { DemoExample } from './DemoExample.ts'

/** The stand-ins and members of a running demo. */
export class DemoRegion {
  readonly #standIns: StandInRegion
  readonly #members: readonly Member[]
  readonly #addresses: readonly MemberAddresses[]
  readonly #operator: OperatorClient

  private constructor (standIns: StandInRegion, members: readonly Member[], addresses: readonly MemberAddresses[]) {
    this.#standIns = standIns
    this.#members = members
    this.#addresses = addresses
    this.#operator = new OperatorClient(addresses[0]?.operators ?? '', OPERATOR_TOKEN)
  }

  /** Starts the stand-ins and members on free loopback ports. */
  static async start (example: DemoExample): Promise<DemoRegion> {
    const { dataCentres } = example
    const room = { processors: VM_PROCESSORS, memoryMb: VM_MEMORY_MB, accelerators: 0 }
    const standIns = new StandInRegion({ dataCentres, workers: dataCentres.length * VMS_PER_DATA_CENTRE, workersPerRack: VMS_PER_DATA_CENTRE, room })
    const platform = await standIns.start()
    const members: Member[] = []
    const addresses: MemberAddresses[] = []
    for (const [index, dataCentre] of dataCentres.entries()) {
      const member = new Member(createSettings(example, `entry-${index + 1}`, dataCentre, platform), new SilentLog())
      members.push(member)
      addresses.push(await member.start())
    }
    return new DemoRegion(standIns, members, addresses)
  }

  get standIns (): StandInRegion {
    return this.#standIns
  }

  get members (): readonly Member[] {
    return this.#members
  }

  get operator (): OperatorClient {
    return this.#operator
  }

  /** The addresses of the callers' listeners, one per member. */
  get callerAddresses (): readonly string[] {
    return this.#addresses.map(address => address.callers ?? '')
  }

  /** The lowest configuration version in force at any member. */
  get configVersion (): number {
    return Math.min(...this.#members.map(member => member.configuration.current.version))
  }

  async stop (): Promise<void> {
    this.#operator.close()
    await Promise.all(this.#members.map(member => member.stop()))
    await this.#standIns.stop()
  }
}

const createSettings = (example: DemoExample, member: string, dataCentre: string, platform: string): Settings => settingsSchema.parse({
  member,
  region: { name: example.region, dataCentres: example.dataCentres },
  dataCentre,
  roles: ['gateway', 'scheduler'],
  listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0' },
  peerKeys: [{ id: 'demo', secret: 'demo-peer-secret-0' }],
  operators: [{ operator: 'demo', token: OPERATOR_TOKEN }],
  platform: { table: platform, objects: platform, vmList: platform }
})
