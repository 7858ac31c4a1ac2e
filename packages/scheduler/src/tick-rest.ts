/**
 * Decides how much of its time a scheduler spends in ticks. More ticks leave less room unused, but while the process
 * is saturated they keep it from answering the runners, whose reports then come again and again.
 */

/** Utilization of the event loop from which on reports and orders wait for ticks. */
const SATURATED_UTILIZATION = 0.9;
/** Leave half of the time, and three quarters of it, to reports and orders. */
const REST_FACTOR = 1;
const SATURATED_REST_FACTOR = 3;

/** Returns how many times the time that a tick took the next one has to wait. `utilization` is 0 to 1. */
export function computeTickRestFactor(utilization: number): number {
  return utilization < SATURATED_UTILIZATION ? REST_FACTOR : SATURATED_REST_FACTOR;
}
