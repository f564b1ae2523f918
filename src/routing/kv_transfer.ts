/** Whether to move KV cache between engines instead of computing it again.
 * @module */

/** What a transfer would move and replace. */
export interface Transfer {
  /** Tokens whose KV cache the other engine holds. */
  tokens: number;
  /** Tokens a second that the target prefills. */
  prefillRate: number;
  /** Bytes of KV cache of one token. */
  tokenBytes: number;
  /** Bytes a second between the two engines. */
  bandwidth: number;
  /** Milliseconds of the export and import calls themselves. */
  overhead: number;
  /** Calls that wait at the target over those it runs side by side; a
   * transfer leaves the prefill to them. */
  pressure: number;
}

/** Saving, in milliseconds, below which a transfer is not worth its risk. */
const MARGIN = 20;
/** A transfer must save this share of what it replaces. */
const SHARE = 0.2;

/** Milliseconds that a transfer saves; negative where it costs. */
export function savedTime(transfer: Transfer): number {
  const prefill = transfer.tokens / transfer.prefillRate * 1000;
  const bytes = transfer.tokens * transfer.tokenBytes;
  const move = transfer.overhead + bytes / transfer.bandwidth * 1000;
  return prefill * (1 + Math.max(0, transfer.pressure)) - move;
}

/** Whether a transfer pays. */
export function isWorthwhile(transfer: Transfer): boolean {
  const prefill = transfer.tokens / transfer.prefillRate * 1000;
  return savedTime(transfer) > Math.max(MARGIN, SHARE * prefill);
}
