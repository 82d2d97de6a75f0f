/**
 * A request received directly from a caller.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Writable } from 'node:stream'
import { REQUEST_ID_HEADER, SESSION_COOKIE, SESSION_HEADER } from './constants.ts'
import { Exchange } from './Exchange.ts'
import { responseHeaders } from './headers.ts'
import { ReplayableBody } from './ReplayableBody.ts'
import type { SessionTokens } from './SessionTokens.ts'
import { sendFault } from './sendFault.ts'
import type { ResponseHead, RequestFault, RequestHead } from './types.ts'

/** Responds over the caller's HTTP connection. */
export class HttpExchange extends Exchange {
  readonly head: RequestHead
  readonly body: ReplayableBody
  readonly #outgoing: ServerResponse
  readonly #tokens: SessionTokens

  constructor (head: RequestHead, incoming: IncomingMessage, outgoing: ServerResponse, maxBodyBytes: number, tokens: SessionTokens) {
    super()
    this.head = head
    this.body = new ReplayableBody(incoming, maxBodyBytes)
    this.#outgoing = outgoing
    this.#tokens = tokens
  }

  get isResponseStarted (): boolean {
    return this.#outgoing.headersSent
  }

  get isDisconnected (): boolean {
    return this.#outgoing.destroyed || this.#outgoing.socket?.destroyed === true
  }

  onDisconnect (listener: () => void): void {
    this.#outgoing.once('close', () => {
      if (!this.#outgoing.writableFinished) listener()
    })
  }

  startResponse (response: ResponseHead): Writable {
    const headers = { ...responseHeaders(response.headers), [REQUEST_ID_HEADER]: this.head.requestId }
    this.#outgoing.writeHead(response.status, this.head.isSession ? { ...headers, ...this.#sessionHeaders(response) } : headers)
    return this.#outgoing
  }

  // A reset marks a response as incomplete even if only the end of the connection delimits it.
  abort (): void {
    this.#outgoing.socket?.resetAndDestroy()
    this.#outgoing.destroy()
  }

  fail (fault: RequestFault): void {
    if (this.isResponseStarted) {
      this.abort()
      return
    }
    this.body.discard()
    if (fault.status === 413) this.#outgoing.setHeader('connection', 'close')
    sendFault(this.#outgoing, fault, this.head.requestId)
  }

  #sessionHeaders (response: ResponseHead): Record<string, string | string[]> {
    const { service } = this.head
    const token = this.#tokens.issue({ service, endpoint: response.endpoint })
    const cookie = `${SESSION_COOKIE}=${token}; Path=/${service}; HttpOnly; SameSite=Lax`
    return { [SESSION_HEADER]: token, 'set-cookie': [...(response.headers['set-cookie'] ?? []), cookie] }
  }
}
