/** Hedging of stragglers and detection of hung calls, with thresholds learned
 * from recent calls of the same service and size class.
 * @module */

import type * as request from "../request/request.ts";
import type * as extraCallBudget from "./extra_call_budget.ts";
import * as durationHistogram from "./duration_histogram.ts";

/** Quantile of completed calls' durations above which a call is a straggler. */
const STRAGGLER_QUANTILE = 0.95;
/** Quantile of the pauses between two progress events. */
const PAUSE_QUANTILE = 0.99;
/** Multiple of that quantile after which a call is hung. */
const HANG_FACTOR = 4;
/** Lower bound of the hang threshold. */
const MIN_HANG_MS = 250;
/** Hang threshold before enough pauses are known. */
const DEFAULT_HANG_MS = 10_000;
/** Minimum number of samples for a learned threshold. */
const MIN_SAMPLES = 20;
/** Number of size classes, one for each doubling of the tokens. */
const SIZE_CLASS_COUNT = 20;

/** A call in flight. */
export interface RunningCall {
  attempt: request.Attempt;
  /** Input tokens of the stage. */
  size: number;
  idempotent: boolean;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  /** Time of the last progress; the start of the call before any. */
  progressed: number;
  /** Whether any token has been received. */
  receiving: boolean;
  /** Whether a second call is in flight already. */
  hedged: boolean;
  /** Whether another endpoint can be chosen. */
  others: boolean;
}

/** Decision about a call in flight. */
export type Decision =
  | { type: "hedge" }
  /** Cancel the call and resume it at another endpoint from its offset. */
  | { type: "replace" }
  /** Decide again at this time. */
  | { type: "wait"; until: number };

/** Learned thresholds of one service; mutated in place. */
export class HedgePolicy {
  #durations: (durationHistogram.DurationHistogram | undefined)[] = [];
  #firstPauses: (durationHistogram.DurationHistogram | undefined)[] = [];
  #pauses = durationHistogram.DurationHistogram.create();

  /** Creates a policy without samples. */
  static create(): HedgePolicy {
    return new HedgePolicy();
  }

  /** Adds the duration of a successful call. */
  observe(size: number, ms: number): void {
    classOf(this.#durations, size).add(ms);
  }

  /** Adds a pause before a progress event. A call's pause before its first
   * progress is recorded separately. */
  observeProgress(size: number, pause: { ms: number; first: boolean }): void {
    if (pause.first) classOf(this.#firstPauses, size).add(pause.ms);
    else this.#pauses.add(pause.ms);
  }

  /** Milliseconds after which a call of this size is a straggler; undefined
   * without enough samples. */
  stragglerThreshold(size: number): number | undefined {
    return learnedQuantile(
      this.#durations[sizeClass(size)],
      STRAGGLER_QUANTILE,
    );
  }

  /** Milliseconds without progress after which a call counts as hung. */
  hangThreshold(call: Pick<RunningCall, "size" | "receiving">): number {
    const durations = call.receiving
      ? this.#pauses
      : this.#firstPauses[sizeClass(call.size)] ??
        this.#durations[sizeClass(call.size)];
    const pause = learnedQuantile(durations, PAUSE_QUANTILE);
    if (pause === undefined) return DEFAULT_HANG_MS;
    return Math.max(MIN_HANG_MS, HANG_FACTOR * pause);
  }

  /** Time at which a call counts as hung unless it makes progress before. */
  hangsAt(
    call: Pick<RunningCall, "size" | "receiving" | "progressed">,
  ): number {
    return call.progressed + this.hangThreshold(call);
  }

  /** Decides about a call in flight; a hedge is taken from the budget. */
  decide(
    call: RunningCall,
    spend: extraCallBudget.ExtraCallBudget,
    now: number,
  ): Decision {
    const hangAt = this.hangsAt(call);
    const movable = call.idempotent && call.others && !call.hedged;
    if (!movable) return { type: "wait", until: call.deadline };
    if (now >= hangAt) return { type: "replace" };
    const threshold = this.stragglerThreshold(call.size);
    const hedgeAt = threshold === undefined
      ? Infinity
      : call.attempt.started + threshold;
    if (now < hedgeAt) return wait(call, Math.min(hedgeAt, hangAt));
    if (this.#isFaster(call, now) && spend.take(now)) return { type: "hedge" };
    return wait(call, hangAt);
  }

  /** Whether a new call is expected to end before the running one. */
  #isFaster(call: RunningCall, now: number): boolean {
    const durations = this.#durations[sizeClass(call.size)];
    if (durations === undefined || call.receiving) return false;
    const median = durations.quantile(0.5) ?? Infinity;
    if (now + median > call.deadline) return false;
    return median < remaining(durations, now - call.attempt.started);
  }
}

/** Endpoint time that the losing call of a hedge cost, milliseconds. */
export function wastedTime(loser: request.Attempt, now: number): number {
  return Math.max(0, now - loser.started);
}

/** Median remaining time of a call that has run for `elapsed`; infinite when no
 * sample ran as long. */
function remaining(
  durations: durationHistogram.DurationHistogram,
  elapsed: number,
): number {
  const doneRatio = durations.fractionUpTo(elapsed);
  if (doneRatio >= 1) return Infinity;
  const total = durations.quantile(1 - (1 - doneRatio) / 2) ?? Infinity;
  return total - elapsed;
}

function wait(call: RunningCall, until: number): Decision {
  return { type: "wait", until: Math.min(until, call.deadline) };
}

function learnedQuantile(
  samples: durationHistogram.DurationHistogram | undefined,
  q: number,
): number | undefined {
  if (samples === undefined || samples.total < MIN_SAMPLES) return undefined;
  return samples.quantile(q);
}

function sizeClass(size: number): number {
  return Math.min(
    SIZE_CLASS_COUNT - 1,
    Math.floor(Math.log2(Math.max(1, size))),
  );
}

function classOf(
  classes: (durationHistogram.DurationHistogram | undefined)[],
  size: number,
): durationHistogram.DurationHistogram {
  return classes[sizeClass(size)] ??= durationHistogram.DurationHistogram
    .create();
}
