/** Cost of a request, by which accounts are charged for their share of a
 * service.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as protocols from "./protocol.ts";

/** Cost of a plain call. */
const CALL_COST = 1;
/** Input tokens that cost as much as one output token. In a full batch an
 * engine takes about as long for a generated token as for prefilling ten. */
const OUTPUT_TOKEN_COST = 10;
/** Least cost of a prompt: one that declares no tokens occupies an engine all
 * the same, and a cost of 0 would be admitted without limit. */
const MIN_PROMPT_COST = 1;

/** Largest cost of a prompt: no engine holds as many tokens, and one account that
 * declares more would hide what the others use. */
const MAX_PROMPT_COST = 1_000_000;
/** Least cost of stages, for the same reason as that of a prompt. */
const MIN_STAGE_COST = 1;

/** Cost of a request: calls for a plain call, tokens for a prompt.
 * `prefillTokens` are the input tokens that the engine's cache lacks; all are
 * assumed until an engine is chosen. */
export function costOf(
  prompt: protocols.Prompt | undefined,
  prefillTokens = prompt?.inputTokens ?? 0,
): number {
  if (prompt === undefined) return CALL_COST;
  const tokens = prefillTokens + OUTPUT_TOKEN_COST * prompt.outputTokens;
  return Math.min(MAX_PROMPT_COST, Math.max(MIN_PROMPT_COST, tokens));
}

/** Cost of a request's stages: milliseconds of endpoints that compute its items
 * in full calls. Services without performance figures cost nothing. */
export function stageCostOf(
  stages: readonly configurations.Stage[],
  itemCounts: readonly number[],
  traitsOf: (service: string) => configurations.BatchTraits | undefined,
): number {
  const total = stages.reduce((sum, { service }, stage) => {
    const traits = traitsOf(service);
    if (traits === undefined) return sum;
    const { callTime, itemTime, batch } = traits;
    return sum + (itemCounts[stage] ?? 0) * (itemTime + callTime / batch);
  }, 0);
  return Math.max(MIN_STAGE_COST, total);
}
