/**
 * The settings that an environment variable or a flag may override, and how their texts are read.
 */

export enum SettingKind {
  Text = 'text',
  Number = 'number',
  Boolean = 'boolean',
  /** Separated by commas. */
  List = 'list',
}

export interface SettingOverride {
  /** Where the setting is in the file. */
  path: string[];
  kind: SettingKind;
  /** Without the leading hyphens; null when a flag would show the value in the list of processes. */
  flag: string | null;
  environment: string;
  describe: string;
}

interface OverrideOptions {
  kind?: SettingKind;
  secret?: boolean;
}

function override(
  path: string[],
  name: string,
  describe: string,
  { kind = SettingKind.Text, secret = false }: OverrideOptions = {},
): SettingOverride {
  return {
    path,
    kind,
    flag: secret ? null : name,
    environment: `FIGJUNCTION_${name.replaceAll('-', '_').toUpperCase()}`,
    describe,
  };
}

const COMMON_OVERRIDES: SettingOverride[] = [
  override(['host'], 'host', 'IP address to listen on'),
  override(['port'], 'port', 'port to listen on; 0 picks a free one', { kind: SettingKind.Number }),
  override(
    ['advertisedAddress'],
    'advertised-address',
    'http://<ip>:<port> where other processes reach this one; default: the address listened on',
  ),
  override(['location', 'region'], 'region', 'region of this VM'),
  override(['location', 'dataCentre'], 'data-centre', 'data centre of this VM'),
  override(['location', 'rack'], 'rack', 'rack of this VM'),
  override(['platformAddress'], 'platform-address', 'http://<ip>:<port> of the platform'),
  override(['sharedToken'], 'shared-token', 'token that all processes share', { secret: true }),
  override(['logLevel'], 'log-level', 'silent, error, warn, info or debug'),
  override(['tracesEndpoint'], 'traces-endpoint', 'OTLP endpoint for traces'),
  override(['seed'], 'seed', 'seed of the random choices', { kind: SettingKind.Number }),
  override(['stopTimeoutMs'], 'stop-timeout-ms', 'time for a graceful stop', {
    kind: SettingKind.Number,
  }),
  ...['routing', 'fairness', 'learning', 'interference', 'guards', 'quarantine'].map((name) =>
    override(['policy', name], `policy-${name}`, `turn the ${name} mechanism on or off`, {
      kind: SettingKind.Boolean,
    }),
  ),
  override(['policy', 'placementMode'], 'placement-mode', 'push or pull'),
];

export const ENTRY_OVERRIDES: SettingOverride[] = [
  override(['entryId'], 'entry-id', 'name of this entry'),
  override(['peers'], 'peers', 'addresses of other entries, separated by commas', {
    kind: SettingKind.List,
  }),
  ...COMMON_OVERRIDES,
];

export const AGENT_OVERRIDES: SettingOverride[] = [
  override(['agentId'], 'agent-id', 'name of this agent'),
  override(['entries'], 'entries', 'addresses of entries, separated by commas', {
    kind: SettingKind.List,
  }),
  override(['workerAddress'], 'worker-address', 'http://<ip>:<port> of the worker'),
  ...COMMON_OVERRIDES,
];

/** The value that a text stands for; a text that does not fit is left for the schema to refuse. */
export function readOverride(text: string, kind: SettingKind): unknown {
  switch (kind) {
    case SettingKind.Number:
      return text.trim() === '' || Number.isNaN(Number(text)) ? text : Number(text);
    case SettingKind.Boolean:
      return text === 'true' || text === 'false' ? text === 'true' : text;
    case SettingKind.List:
      return text
        .split(',')
        .map((part) => part.trim())
        .filter((part) => part !== '');
    default:
      return text;
  }
}
