// Installs dependencies from the lock file when they are missing or older than the lock file.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const INSTALLED_MARKER = 'node_modules/.package-lock.json';
const LOCK_FILE = 'package-lock.json';

const isInstalled =
  existsSync(INSTALLED_MARKER) && statSync(INSTALLED_MARKER).mtimeMs >= statSync(LOCK_FILE).mtimeMs;

if (!isInstalled) {
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exitCode = status ?? 1;
}
