/**
 * Names of the HTTP headers of requests, answers and calls to agents.
 */
export const REQUEST_ID_HEADER = 'figjunction-request-id';
export const IDEMPOTENT_HEADER = 'figjunction-idempotent';
export const TIMEOUT_HEADER = 'figjunction-timeout-ms';
export const URGENCY_HEADER = 'figjunction-urgency';
export const OUTCOME_HEADER = 'figjunction-outcome';

/**
 * The agent a call is meant for. Incarnations are counted per agent id, so that an address which another
 * agent took over must not answer for the first one.
 */
export const AGENT_ID_HEADER = 'figjunction-agent-id';
