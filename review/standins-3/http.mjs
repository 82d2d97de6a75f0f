/** Small helpers for HTTP with JSON bodies. */
import { request as httpRequest } from 'node:http'

export const readJson = async request => {
  const chunks = []
  try {
    for await (const chunk of request) chunks.push(chunk)
    return JSON.parse(Buffer.concat(chunks).toString())
  } catch {
    return {}
  }
}

export const sendJson = (response, status, body) => {
  if (response.destroyed || response.headersSent) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/** Sends a request; the status is 0 if there was no response in time. */
export const call = ({ address, method, path, host, body, timeoutMs = 3_000 }) => new Promise(resolve => {
  const [hostname, port] = address.split(':')
  const headers = { host, 'content-type': 'application/json', 'x-auburnpin-deadline-ms': String(timeoutMs) }
  const outgoing = httpRequest({ hostname, port, method, path, headers, agent: false, timeout: timeoutMs }, incoming => {
    let text = ''
    incoming.on('data', chunk => { text += chunk })
    incoming.on('error', () => resolve({ status: 0, body: {} }))
    incoming.on('end', () => {
      let parsed = {}
      try { parsed = JSON.parse(text) } catch {}
      resolve({ status: incoming.statusCode, body: parsed })
    })
  })
  outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')))
  outgoing.on('error', () => resolve({ status: 0, body: {} }))
  outgoing.end(body === undefined ? undefined : JSON.stringify(body))
})

export const sleep = ms => new Promise(resolve => { setTimeout(resolve, ms) })
