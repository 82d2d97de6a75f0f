/**
 * A request that another gateway forwarded to this one, which owns the endpoint's slots.
 */
import type { Writable } from 'node:stream'
import type { EndpointId } from '@auburnpin/common'
import type { PeerStream } from '@auburnpin/cluster'
import { Exchange } from './Exchange.ts'
import type { ForwardReply } from './peerMessages.ts'
import { ReplayableBody } from './ReplayableBody.ts'
import type { ResponseHead, RequestFault, RequestHead } from './types.ts'

/** Responds over the stream that the other gateway has opened. */
export class PeerExchange extends Exchange {
  readonly head: RequestHead
  readonly body: ReplayableBody
  readonly #stream: PeerStream
  readonly #spareShare: () => number
  #isResponseStarted = false
  #endpoint: EndpointId | undefined

  constructor (head: RequestHead, stream: PeerStream, maxBodyBytes: number, spareShare: () => number) {
    super()
    this.head = head
    this.body = new ReplayableBody(stream, maxBodyBytes)
    this.#stream = stream
    this.#spareShare = spareShare
  }

  get isResponseStarted (): boolean {
    return this.#isResponseStarted
  }

  get isDisconnected (): boolean {
    return this.#stream.destroyed
  }

  onDisconnect (listener: () => void): void {
    this.#stream.once('close', () => {
      if (!this.#stream.writableFinished) listener()
    })
  }

  /** Reports that a slot of `endpoint` has been acquired, so that the peer may send the body. */
  sendReady (endpoint: EndpointId): void {
    this.#endpoint = endpoint
    this.#reply({ kind: 'ready' })
  }

  startResponse (answer: ResponseHead): Writable {
    this.#isResponseStarted = true
    this.#reply({ kind: 'answer', answer, spareShare: this.#spareShare() })
    return this.#stream
  }

  abort (): void {
    this.#stream.destroy(new Error('The response was cut short'))
  }

  fail (fault: RequestFault): void {
    if (this.#isResponseStarted) {
      this.abort()
      return
    }
    const sent = { ...fault, error: fault.error.toReport() }
    this.#reply({ kind: 'fault', fault: sent, spareShare: this.#spareShare(), ...(this.#endpoint === undefined ? {} : { endpoint: this.#endpoint }) })
    this.body.discard()
    this.#stream.end()
  }

  #reply (reply: ForwardReply): void {
    if (!this.#stream.destroyed) this.#stream.sendHead(reply)
  }
}
