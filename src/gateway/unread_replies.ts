/** Replies that callers have not read yet. A host reads the responses of
 * endpoints at once, since an endpoint cuts off a response that stays unread, so
 * it holds what a slow caller has not read. The memory for that is bounded: above
 * the bound, the replies with the most unread bytes are aborted.
 * @module */

import * as byteLedgers from "../runtime/byte_ledger.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Part of a host's memory that unread bytes may take: the rest is for the
 * requests in flight, which must not fail because of slow callers. */
const MEMORY_SHARE = 1 / 8;

/** A reply of which the host may hold unread bytes. */
export interface UnreadReply {
  /** Bytes that the host holds for the caller. */
  readonly unreadBytes: number;
  /** Ends the reply so that the caller can't take it for complete. */
  abortUnread(unreadBytes: number): void;
}

/** Dependencies of the count. */
export interface UnreadRepliesOptions {
  readonly metrics: telemetry.Metrics;
  /** Memory of the host in bytes; without it, or with 0, there is no bound. */
  readonly memory?: number;
  /** Runs a function once the system has taken what it takes of the bytes written
   * in this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Unread bytes by reply; changed in place. */
export class UnreadReplies {
  readonly #options: UnreadRepliesOptions;
  readonly #ledger: byteLedgers.ByteLedger<UnreadReply>;
  #isCheckDue = false;

  private constructor(options: UnreadRepliesOptions) {
    this.#options = options;
    this.#ledger = byteLedgers.ByteLedger.create({
      memory: options.memory,
      share: MEMORY_SHARE,
    });
  }

  static create(options: UnreadRepliesOptions): UnreadReplies {
    return new UnreadReplies(options);
  }

  /** Bytes that callers have not read. */
  get sum(): number {
    return this.#ledger.sum;
  }

  /** Records that bytes were written to a reply, or read by its caller. */
  update(reply: UnreadReply): void {
    this.#ledger.update(reply, reply.unreadBytes);
    this.#scheduleCheck();
  }

  /** Records that a reply has ended: nothing is held for it any more. */
  remove(reply: UnreadReply): void {
    if (this.#ledger.remove(reply)) this.#scheduleCheck();
  }

  /** State for diagnostics. */
  dump(): unknown {
    const { holders: replies, ...rest } = this.#ledger.dump();
    return { unreadBytes: this.#ledger.sum, replies, ...rest };
  }

  /** Bytes that the system takes at once are not unread, so the bound is checked
   * after the turn in which they were written. */
  #scheduleCheck(): void {
    if (this.#isCheckDue) return;
    this.#isCheckDue = true;
    this.#options.afterTurn(() => this.#check());
  }

  #check(): void {
    this.#isCheckDue = false;
    this.#ledger.removeExcess((largest, bytes) => {
      this.#options.metrics.count("gateway.aborted_slow");
      largest.abortUnread(bytes);
    });
    this.#options.metrics.gauge("gateway.unread_bytes", this.#ledger.sum);
  }
}
