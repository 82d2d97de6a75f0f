/**
 * A request that another gateway has forwarded to this one, the owner of the slots.
 */
import type { Writable } from 'node:stream'
import type { EndpointId } from '@auburnpin/common'
import type { PeerStream } from '@auburnpin/cluster'
import { Exchange } from './Exchange.ts'
import type { ForwardReply } from './peerMessages.ts'
import { ReplayBody } from './ReplayBody.ts'
import type { AnswerHead, RequestFault, RequestHead } from './types.ts'

/** Answers over the peer link. */
export class PeerExchange extends Exchange {
  readonly head: RequestHead
  readonly body: ReplayBody
  readonly #stream: PeerStream
  readonly #spareShare: () => number
  #isBegun = false
  #endpoint: EndpointId | undefined

  constructor (head: RequestHead, stream: PeerStream, maxBodyBytes: number, spareShare: () => number) {
    super()
    this.head = head
    this.body = new ReplayBody(stream, maxBodyBytes)
    this.#stream = stream
    this.#spareShare = spareShare
  }

  get isBegun (): boolean {
    return this.#isBegun
  }

  get isGone (): boolean {
    return this.#stream.destroyed
  }

  onGone (listener: () => void): void {
    this.#stream.once('close', () => {
      if (!this.#stream.writableFinished) listener()
    })
  }

  /** Says that a slot is held. */
  ready (endpoint: EndpointId): void {
    this.#endpoint = endpoint
    this.#reply({ kind: 'ready' })
  }

  begin (answer: AnswerHead): Writable {
    this.#isBegun = true
    this.#reply({ kind: 'answer', answer, spareShare: this.#spareShare() })
    return this.#stream
  }

  cut (): void {
    this.#stream.destroy(new Error('The answer broke off'))
  }

  fail (fault: RequestFault): void {
    if (this.#isBegun) {
      this.cut()
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
