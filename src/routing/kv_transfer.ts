/** Decides whether to transfer KV cache between engines instead of computing it
 * again.
 * @module */

/** Costs of a transfer and of the prefill that it replaces. */
export interface Transfer {
  /** Tokens whose KV cache the other engine holds. */
  tokens: number;
  /** Prefill rate of the target, tokens per second. */
  prefillRate: number;
  /** Bytes of KV cache of one token. */
  tokenBytes: number;
  /** Bandwidth between the two engines, bytes per second. */
  bandwidth: number;
  /** Fixed time of the export and import calls, milliseconds. */
  overhead: number;
  /** Ratio of the calls waiting at the target to its slots; a transfer leaves
   * the target's prefill capacity to them. */
  pressure: number;
}

/** Minimum saving; a smaller one is not worth the risk of a transfer. */
const MIN_SAVING_MS = 20;
/** Minimum saving as a share of the prefill time that is replaced. */
const MIN_SAVING_RATIO = 0.2;

/** Milliseconds that a transfer saves; negative when it takes longer. */
export function savedTime(transfer: Transfer): number {
  const prefillMs = transfer.tokens / transfer.prefillRate * 1000;
  const bytes = transfer.tokens * transfer.tokenBytes;
  const transferMs = transfer.overhead + bytes / transfer.bandwidth * 1000;
  return prefillMs * (1 + Math.max(0, transfer.pressure)) - transferMs;
}

/** Whether a transfer saves enough time. */
export function isWorthwhile(transfer: Transfer): boolean {
  const prefillMs = transfer.tokens / transfer.prefillRate * 1000;
  return savedTime(transfer) >
    Math.max(MIN_SAVING_MS, MIN_SAVING_RATIO * prefillMs);
}
