/**
 * Sends one request to the gateway that owns the slots, and its answer back.
 */
import { AuburnpinError, Err, Ok, type EndpointId, type MemberId, type Result } from '@auburnpin/common'
import type { PeerStream, StreamPeers } from '@auburnpin/cluster'
import type { Exchange } from './Exchange.ts'
import type { ForwardOpening, ForwardReply, SentFault } from './peerMessages.ts'
import type { RequestFault } from './types.ts'

/** One request to one owner. */
export type PeerCall = Readonly<{
  exchange: Exchange
  peers: StreamPeers
  owner: MemberId
  opening: ForwardOpening
  /** Called with the owner's spare share, as it last said. */
  onSpareShare: (spareShare: number) => void
}>

/** A fault, with the endpoint that the owner tried if it tried one. */
export type PeerFault = RequestFault & Readonly<{ endpoint?: EndpointId }>

/** Resolves once the owner has given the whole answer, or with its fault. */
export const forwardToPeer = (call: PeerCall): Promise<Result<void, PeerFault>> => {
  const opened = call.peers.openStream(call.owner, call.opening)
  if (opened.err) return Promise.resolve(Err(lostPeer(opened.val, true)))
  return new Promise(resolve => { new PeerTry(call, opened.val, resolve).start() })
}

/** Owns the stream to the owner for the time of one try. */
class PeerTry {
  readonly #call: PeerCall
  readonly #stream: PeerStream
  readonly #resolve: (result: Result<void, PeerFault>) => void
  #isHandedOver = false
  #isSettled = false

  constructor (call: PeerCall, stream: PeerStream, resolve: (result: Result<void, PeerFault>) => void) {
    this.#call = call
    this.#stream = stream
    this.#resolve = resolve
  }

  start (): void {
    const { exchange } = this.#call
    const stream = this.#stream
    stream.onHead(head => this.#takeReply(head as ForwardReply))
    stream.on('close', () => this.#broken())
    exchange.body.onBroken(() => this.#giveUp())
    exchange.onGone(() => this.#giveUp())
    if (exchange.isGone) this.#giveUp()
    else if (!hasBody(exchange)) this.#handOver()
  }

  // The owner sends nothing to an endpoint before it has the first bytes of the body, or its end.
  #handOver (): void {
    this.#isHandedOver = true
    this.#call.exchange.body.sendTo(this.#stream)
  }

  #takeReply (reply: ForwardReply): void {
    if (this.#isSettled) return
    const { exchange, onSpareShare } = this.#call
    if (reply.kind === 'ready') {
      if (!this.#isHandedOver) this.#handOver()
      return
    }
    onSpareShare(reply.spareShare)
    if (reply.kind === 'fault') {
      this.#takeFault(reply.fault, reply.endpoint)
      return
    }
    const outgoing = exchange.begin(reply.answer)
    this.#stream.on('end', () => this.#settle(Ok(undefined)))
    this.#stream.pipe(outgoing)
  }

  #takeFault (sent: SentFault, endpoint: EndpointId | undefined): void {
    const { kind, message, remedy } = sent.error
    this.#call.exchange.body.detach()
    this.#settle(Err({ ...sent, error: new AuburnpinError(kind, message, remedy), ...(endpoint === undefined ? {} : { endpoint }) }))
    this.#stream.destroy()
  }

  #giveUp (): void {
    this.#stream.destroy(new Error('The caller went away'))
  }

  #broken (): void {
    if (this.#isSettled) return
    const { exchange, owner } = this.#call
    exchange.body.detach()
    if (exchange.isBegun) exchange.cut()
    const isNotRun = !this.#isHandedOver
    const remedy = isNotRun ? 'Come back after the time in Retry-After.' : 'It may have run; find out before you send it again.'
    this.#settle(Err(lostPeer(new AuburnpinError('unreachable', `Gateway ${owner} gave no whole answer`, remedy), isNotRun)))
  }

  #settle (result: Result<void, PeerFault>): void {
    if (this.#isSettled) return
    this.#isSettled = true
    this.#resolve(result)
  }
}

const hasBody = ({ head }: Exchange): boolean => {
  const length = Number(head.headers['content-length'] ?? 0)
  return length > 0 || head.headers['transfer-encoding'] !== undefined
}

const lostPeer = (error: AuburnpinError, isNotRun: boolean): PeerFault =>
  ({ error, cause: 'peer', isNotRun, status: isNotRun ? 503 : 502 })
