/**
 * Serves metrics over HTTP.
 */
import { createServer, type Server } from 'node:http'

/** Serves the metrics text on one path. */
export class MetricsServer {
  readonly #server: Server

  constructor (path: string, text: () => Promise<string>) {
    this.#server = createServer((request, response) => {
      if (request.url !== path) {
        response.writeHead(404).end()
        return
      }
      text().then(body => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
        response.end(body)
      }, (error: unknown) => {
        response.writeHead(500).end(String(error))
      })
    })
  }

  /** Port 0 selects any free port; resolves to the port in use. */
  listen (host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => {
        const address = this.#server.address()
        resolve(typeof address === 'object' && address !== null ? address.port : port)
      })
    })
  }

  close (): void {
    this.#server.close()
  }
}
