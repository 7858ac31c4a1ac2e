/**
 * Names of the HTTP headers of requests, responses and calls to agents.
 */
export const REQUEST_ID_HEADER = 'figjunction-request-id';
export const IDEMPOTENT_HEADER = 'figjunction-idempotent';
export const TIMEOUT_HEADER = 'figjunction-timeout-ms';
export const URGENCY_HEADER = 'figjunction-urgency';
export const OUTCOME_HEADER = 'figjunction-outcome';

/**
 * The agent that a call is addressed to. Incarnations are counted per agent id, so an agent that took over
 * the address of another one must reject calls to the previous agent.
 */
export const AGENT_ID_HEADER = 'figjunction-agent-id';
