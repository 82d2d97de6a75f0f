import { get } from 'node:http'
import test from 'ava'
import { MetricsServer, PrometheusMetrics } from '../src/index.ts'

const fetchText = (port: number, path: string): Promise<{ status: number, body: string }> => new Promise((resolve, reject) => {
  get({ host: '127.0.0.1', port, path }, response => {
    let body = ''
    response.on('data', (chunk: Buffer) => { body += chunk.toString() })
    response.on('end', () => resolve({ status: response.statusCode ?? 0, body }))
  }).on('error', reject)
})

test('counters, gauges and histograms are served in the text format with their units', async t => {
  const metrics = new PrometheusMetrics()
  metrics.count('runs.ended', 2, { how: 'done' })
  metrics.gauge('term.epoch', 3)
  metrics.timing('jobs.firstStart', 30)
  const server = new MetricsServer('/metrics', () => metrics.text())
  const port = await server.listen('127.0.0.1', 0)
  const { status, body } = await fetchText(port, '/metrics')
  t.is(status, 200)
  t.regex(body, /auburnpin_runs_ended_total\{how="done"\} 2/)
  t.regex(body, /auburnpin_term_epoch 3/)
  t.regex(body, /auburnpin_jobs_first_start_seconds_bucket\{le="0\.05"\} 1/)
  t.is((await fetchText(port, '/other')).status, 404)
  server.close()
})
