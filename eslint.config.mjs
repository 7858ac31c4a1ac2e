import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const TRANSPORTS = ['node:http', 'node:net', 'node:dgram', 'node:fs', '@figjunction/rpc'];

/** Names of the platform's protocol; they belong into platform/ alone. */
const PLATFORM_NAMES =
  '/rows-(tx|get|feed)|run-(start|stop)\\b|Instances\\.(Heartbeat|Deregister)|FIGJUNCTION_NODE_FILE|fence_token|last_seen|now_ms|clock_ms/u';

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Named exports only: one name for a thing everywhere.
      'import-x/prefer-default-export': 'off',
      // nodenext resolution needs the extension in relative imports.
      'import-x/extensions': 'off',
      // Loops are the plain form of "systems run over tables".
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      // Enum members are used across modules; the base rule does not understand them.
      'no-shadow': 'off',
      '@typescript-eslint/no-shadow': 'error',
      'class-methods-use-this': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'no-underscore-dangle': 'off',
      // Entities in tables are updated in place by the systems that run over them.
      'no-param-reassign': ['error', { props: false }],
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-missing-import': 'off',
      // The binaries are published with their package folder.
      'n/no-unpublished-bin': 'off',
      // A family of small variants reads best in one file.
      'max-classes-per-file': 'off',
      'n/no-sync': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-process-exit': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': 'off',
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/decisions/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { paths: TRANSPORTS }],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      'platform/src/stand-in/**',
      'packages/bench/**',
      'packages/test-support/**',
      '**/*.test.ts',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        { paths: [...['@figjunction/test-support', 'node:child_process']] },
      ],
    },
  },
  {
    files: ['packages/decisions/src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        { paths: [...TRANSPORTS, '@figjunction/test-support', 'node:child_process'] },
      ],
    },
  },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: `Literal[value=${PLATFORM_NAMES}]`, message: 'translate in platform/' },
        { selector: `Identifier[name=${PLATFORM_NAMES}]`, message: 'translate in platform/' },
      ],
    },
  },
  {
    files: ['platform/src/wire.ts', 'platform/src/**/*.ts'],
    // Fields of the platform's messages are named as they are on the wire.
    rules: { camelcase: 'off', '@typescript-eslint/naming-convention': 'off' },
  },
  {
    files: ['packages/bench/**', 'packages/client/**', 'packages/daemon/**', 'scripts/**'],
    rules: { 'no-console': 'off' },
  },
];
