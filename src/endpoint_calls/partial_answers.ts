/** Answers of endpoints that are not yet complete. A host holds what it has read
 * of them, and a faulty endpoint may send bytes without an end. The memory for
 * that is bounded over all calls: above the bound, the calls that hold the most
 * bytes are ended.
 * @module */

import * as byteLedgers from "../runtime/byte_ledger.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Part of a host's memory that incomplete answers may take: as much as unread
 * replies, to which their bytes go once they are complete. */
const MEMORY_SHARE = 1 / 8;

/** Why an answer was ended for the bytes that it holds. */
export interface Excess {
  readonly heldBytes: number;
  /** Bound that is exceeded, in bytes. */
  readonly bound: number;
  /** What the bound is for: a head, an event, a whole answer, or the incomplete
   * answers of a host together. */
  readonly scope: "head" | "event" | "answer" | "host";
}

/** A call whose answer is not yet complete. */
export interface PartialAnswer {
  /** Bytes of memory that its answer takes now. */
  readonly heldBytes: number;
  /** Ends the call. */
  endOversized(excess: Excess): void;
}

/** Dependencies of the count. */
export interface PartialAnswersOptions {
  readonly metrics: telemetry.Metrics;
  /** Memory of the host in bytes; without it, or with 0, there is no bound. */
  readonly memory?: number;
  /** Runs a function after this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Bytes of incomplete answers by call; changed in place. */
export class PartialAnswers {
  readonly #options: PartialAnswersOptions;
  readonly #ledger: byteLedgers.ByteLedger<PartialAnswer>;
  #isGaugeDue = false;

  private constructor(options: PartialAnswersOptions) {
    this.#options = options;
    this.#ledger = byteLedgers.ByteLedger.create({
      memory: options.memory,
      share: MEMORY_SHARE,
    });
  }

  static create(options: PartialAnswersOptions): PartialAnswers {
    return new PartialAnswers(options);
  }

  /** Bytes that incomplete answers take. */
  get sum(): number {
    return this.#ledger.sum;
  }

  /** Records that bytes of an answer have come, or were passed on. The bound is
   * checked at once: in one turn of the event loop, all calls together may
   * receive more than the host's memory. */
  update(answer: PartialAnswer): void {
    this.#ledger.update(answer, answer.heldBytes);
    this.#ledger.removeExcess((largest, heldBytes) => {
      const { bound } = this.#ledger;
      largest.endOversized({ heldBytes, bound, scope: "host" });
    });
    this.#scheduleGauge();
  }

  /** Records that a call has ended. */
  remove(answer: PartialAnswer): void {
    if (this.#ledger.remove(answer)) this.#scheduleGauge();
  }

  /** State for diagnostics. */
  dump(): unknown {
    const { holders: answers, ...rest } = this.#ledger.dump();
    return { heldBytes: this.#ledger.sum, answers, ...rest };
  }

  #scheduleGauge(): void {
    if (this.#isGaugeDue) return;
    this.#isGaugeDue = true;
    this.#options.afterTurn(() => {
      this.#isGaugeDue = false;
      this.#options.metrics.gauge("gateway.partial_bytes", this.#ledger.sum);
    });
  }
}
