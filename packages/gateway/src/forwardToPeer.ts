/**
 * Forwards one request to the gateway that owns the slots, and its response to the caller.
 */
import { AuburnpinError, Err, Ok, type EndpointId, type MemberId, type Result } from '@auburnpin/common'
import type { PeerStream, StreamPeers } from '@auburnpin/cluster'
import type { Exchange } from './Exchange.ts'
import type { ForwardOpening, ForwardReply, SentFault } from './peerMessages.ts'
import type { RequestFault } from './types.ts'

/** One try: a request and the owner that it is forwarded to. */
export type PeerCall = Readonly<{
  exchange: Exchange
  peers: StreamPeers
  owner: MemberId
  opening: ForwardOpening
  /** Called with the spare share in the owner's reply. */
  onSpareShare: (spareShare: number) => void
}>

/** A fault, and the endpoint that the owner tried, if any. */
export type PeerFault = RequestFault & Readonly<{ endpoint?: EndpointId }>

/** Resolves once the response has been received completely, or with the owner's fault. */
export const forwardToPeer = (call: PeerCall): Promise<Result<void, PeerFault>> => {
  const opened = call.peers.openStream(call.owner, call.opening)
  if (opened.err) return Promise.resolve(Err(peerFault(opened.val, true)))
  return new Promise(resolve => { new PeerTry(call, opened.val, resolve).start() })
}

/** Owns the stream to the peer during one try. */
class PeerTry {
  readonly #call: PeerCall
  readonly #stream: PeerStream
  readonly #resolve: (result: Result<void, PeerFault>) => void
  #isForwarded = false
  #isSettled = false

  constructor (call: PeerCall, stream: PeerStream, resolve: (result: Result<void, PeerFault>) => void) {
    this.#call = call
    this.#stream = stream
    this.#resolve = resolve
  }

  start (): void {
    const { exchange } = this.#call
    const stream = this.#stream
    stream.onHead(head => this.#handleReply(head as ForwardReply))
    stream.on('close', () => this.#handleClose())
    exchange.body.onFailure(() => this.#handleDisconnect())
    exchange.onDisconnect(() => this.#handleDisconnect())
    if (exchange.isDisconnected) this.#handleDisconnect()
    else if (!hasBody(exchange)) this.#forward()
  }

  // The owner sends nothing to an endpoint before it has received the first bytes of the body, or its end.
  #forward (): void {
    this.#isForwarded = true
    this.#call.exchange.body.sendTo(this.#stream)
  }

  #handleReply (reply: ForwardReply): void {
    if (this.#isSettled) return
    const { exchange, onSpareShare } = this.#call
    if (reply.kind === 'ready') {
      if (!this.#isForwarded) this.#forward()
      return
    }
    onSpareShare(reply.spareShare)
    if (reply.kind === 'fault') {
      this.#handleFault(reply.fault, reply.endpoint)
      return
    }
    const outgoing = exchange.startResponse(reply.answer)
    this.#stream.on('end', () => this.#settle(Ok(undefined)))
    this.#stream.pipe(outgoing)
  }

  #handleFault (sent: SentFault, endpoint: EndpointId | undefined): void {
    const { kind, message, remedy } = sent.error
    this.#call.exchange.body.detach()
    this.#settle(Err({ ...sent, error: new AuburnpinError(kind, message, remedy), ...(endpoint === undefined ? {} : { endpoint }) }))
    this.#stream.destroy()
  }

  #handleDisconnect (): void {
    this.#stream.destroy(new Error('The caller disconnected'))
  }

  #handleClose (): void {
    if (this.#isSettled) return
    const { exchange, owner } = this.#call
    exchange.body.detach()
    if (exchange.isResponseStarted) exchange.abort()
    const isNotRun = !this.#isForwarded
    const remedy = isNotRun ? 'Come back after the time in Retry-After.' : 'It may have run; find out before you send it again.'
    this.#settle(Err(peerFault(new AuburnpinError('unreachable', `Gateway ${owner} sent no complete response`, remedy), isNotRun)))
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

const peerFault = (error: AuburnpinError, isNotRun: boolean): PeerFault =>
  ({ error, cause: 'peer', isNotRun, status: isNotRun ? 503 : 502 })
