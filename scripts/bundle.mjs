// Bundles the platform's program into one file, so that a process starts fast and stays small.
import { existsSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';

const BANNER =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";

// Packages are bundled from their sources, so that nothing has to be compiled outside target/.
const alias = Object.fromEntries(
  readdirSync('packages')
    .map((name) => [name, path.resolve('packages', name, 'src/index.ts')])
    .filter(([, file]) => existsSync(file))
    .map(([name, file]) => [`@figjunction/${name}`, file]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/figjunction-platform.mjs',
  bundle: true,
  alias,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  banner: { js: BANNER },
  minifySyntax: true,
  tsconfig: 'platform/tsconfig.json',
});
