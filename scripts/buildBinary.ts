/**
 * Builds `dist/auburnpin`: one bundle, injected into a copy of the running Node as a single executable application.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build, type Plugin } from 'esbuild'
import { inject } from 'postject'
import { replaceFile } from './replaceFile.ts'

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const BINARY_MODE = 0o755

const root = fileURLToPath(new URL('..', import.meta.url))
const dist = join(root, 'dist')
const binary = join(dist, 'auburnpin')
mkdirSync(dist, { recursive: true })
const parts = mkdtempSync(join(dist, 'parts-'))
const bundle = join(parts, 'auburnpin.cjs')
const blob = join(parts, 'auburnpin.blob')
const seaConfig = join(parts, 'sea.json')

// Optional native modules: a single executable can't load them, and warns when a library tries to.
const OPTIONAL_MODULES = /^(unix-dgram|msgpackr-extract|bufferutil|utf-8-validate)$/

/** Makes each optional module throw when it is loaded; the libraries that use one handle this. */
const throwOnOptionalModules: Plugin = {
  name: 'absent-modules',
  setup (bundler) {
    bundler.onResolve({ filter: OPTIONAL_MODULES }, ({ path }) => ({ path, namespace: 'absent' }))
    bundler.onLoad({ filter: /.*/, namespace: 'absent' }, ({ path }) => ({ contents: `throw new Error('${path} is not part of this build')` }))
  }
}

const bundleProgram = async (): Promise<void> => {
  await build({
    entryPoints: [join(root, 'app/src/main.ts')],
    outfile: bundle,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    plugins: [throwOnOptionalModules],
    banner: { js: 'const importMetaUrl = require("node:url").pathToFileURL(process.execPath).href;' },
    define: { 'import.meta.url': 'importMetaUrl' },
    logLevel: 'warning'
  })
}

const writeBlob = (): void => {
  writeFileSync(seaConfig, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }))
  execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: ['ignore', 'ignore', 'inherit'] })
}

const injectBlob = async (file: string): Promise<void> => {
  copyFileSync(process.execPath, file)
  chmodSync(file, BINARY_MODE)
  await inject(file, 'NODE_SEA_BLOB', readFileSync(blob), { sentinelFuse: SENTINEL_FUSE })
}

try {
  await bundleProgram()
  writeBlob()
  await replaceFile(binary, injectBlob)
} finally {
  rmSync(parts, { recursive: true })
}
