/**
 * Small helpers of the stand-ins.
 */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)))

export const readBody = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

export const sendJson = (response, status, body) => {
  if (response.destroyed || response.headersSent) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
