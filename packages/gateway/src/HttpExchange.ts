/**
 * A request that came straight from a caller.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Writable } from 'node:stream'
import { REQUEST_ID_HEADER, SESSION_COOKIE, SESSION_HEADER } from './constants.ts'
import { Exchange } from './Exchange.ts'
import { answerHeaders } from './headers.ts'
import { ReplayBody } from './ReplayBody.ts'
import type { SessionTokens } from './SessionTokens.ts'
import { tellFault } from './tellFault.ts'
import type { AnswerHead, RequestFault, RequestHead } from './types.ts'

/** Answers over the caller's own HTTP connection. */
export class HttpExchange extends Exchange {
  readonly head: RequestHead
  readonly body: ReplayBody
  readonly #outgoing: ServerResponse
  readonly #tokens: SessionTokens

  constructor (head: RequestHead, incoming: IncomingMessage, outgoing: ServerResponse, maxBodyBytes: number, tokens: SessionTokens) {
    super()
    this.head = head
    this.body = new ReplayBody(incoming, maxBodyBytes)
    this.#outgoing = outgoing
    this.#tokens = tokens
  }

  get isBegun (): boolean {
    return this.#outgoing.headersSent
  }

  get isGone (): boolean {
    return this.#outgoing.destroyed || this.#outgoing.socket?.destroyed === true
  }

  onGone (listener: () => void): void {
    this.#outgoing.once('close', () => {
      if (!this.#outgoing.writableFinished) listener()
    })
  }

  begin (answer: AnswerHead): Writable {
    const headers = { ...answerHeaders(answer.headers), [REQUEST_ID_HEADER]: this.head.requestId }
    this.#outgoing.writeHead(answer.status, this.head.isSession ? { ...headers, ...this.#sessionHeaders(answer) } : headers)
    return this.#outgoing
  }

  // A reset also shows in answers whose end is the end of the connection.
  cut (): void {
    this.#outgoing.socket?.resetAndDestroy()
    this.#outgoing.destroy()
  }

  fail (fault: RequestFault): void {
    if (this.isBegun) {
      this.cut()
      return
    }
    this.body.discard()
    if (fault.status === 413) this.#outgoing.setHeader('connection', 'close')
    tellFault(this.#outgoing, fault, this.head.requestId)
  }

  #sessionHeaders (answer: AnswerHead): Record<string, string | string[]> {
    const { service } = this.head
    const token = this.#tokens.issue({ service, endpoint: answer.endpoint })
    const cookie = `${SESSION_COOKIE}=${token}; Path=/${service}; HttpOnly; SameSite=Lax`
    return { [SESSION_HEADER]: token, 'set-cookie': [...(answer.headers['set-cookie'] ?? []), cookie] }
  }
}
