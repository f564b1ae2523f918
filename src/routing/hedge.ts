/** Second calls for stragglers, and calls that make no progress. Bounds are
 * learnt from recent calls of the same service and size.
 * @module */

import type * as request from "../request/request.ts";
import type * as budget from "./extra_call_budget.ts";
import * as quantile from "./duration_histogram.ts";

/** Quantile of finished calls past which a call is a straggler. */
const STRAGGLER = 0.95;
/** Quantile of the pauses between two signs of progress. */
const PAUSE = 0.99;
/** Pauses of that quantile that make a hang. */
const HANG_FACTOR = 4;
/** Milliseconds without progress that are never called a hang. */
const SHORTEST_HANG = 250;
/** Milliseconds without progress that make a hang before any is learnt. */
const UNLEARNT_HANG = 10_000;
/** Samples before a bound counts as learnt. */
const ENOUGH = 20;
/** Size classes: one for each doubling of the tokens. */
const CLASSES = 20;

/** A call in flight, as hedging sees it. */
export interface RunningCall {
  attempt: request.Attempt;
  /** Tokens that the stage takes in. */
  size: number;
  idempotent: boolean;
  /** Milliseconds of the host's monotonic clock. */
  deadline: number;
  /** When the last sign of progress came; its start before any. */
  progressed: number;
  /** Whether any token has come. */
  receiving: boolean;
  /** Whether a second call is running already. */
  hedged: boolean;
  /** Whether another endpoint can be chosen. */
  others: boolean;
}

/** What to do with a call in flight. */
export type Decision =
  | { type: "hedge" }
  /** Cancel it and make it again elsewhere, from its offset. */
  | { type: "replace" }
  /** Look again at this time. */
  | { type: "wait"; until: number };

/** Learnt bounds of one service; changed in place. */
export class HedgePolicy {
  #finished: (quantile.DurationHistogram | undefined)[] = [];
  #first: (quantile.DurationHistogram | undefined)[] = [];
  #pauses = quantile.DurationHistogram.create();

  /** Nothing learnt yet. */
  static create(): HedgePolicy {
    return new HedgePolicy();
  }

  /** Learns from a call that ended well. */
  observe(size: number, ms: number): void {
    classOf(this.#finished, size).add(ms);
  }

  /** Learns from a sign of progress; the first one of a call is apart. */
  observeProgress(size: number, pause: { ms: number; first: boolean }): void {
    if (pause.first) classOf(this.#first, size).add(pause.ms);
    else this.#pauses.add(pause.ms);
  }

  /** Milliseconds past which a call of this size is a straggler. */
  stragglerThreshold(size: number): number | undefined {
    return learnt(this.#finished[sizeClass(size)], STRAGGLER);
  }

  /** Milliseconds without progress past which a call hangs. */
  hangThreshold(call: Pick<RunningCall, "size" | "receiving">): number {
    const durations = call.receiving
      ? this.#pauses
      : this.#first[sizeClass(call.size)] ??
        this.#finished[sizeClass(call.size)];
    const pause = learnt(durations, PAUSE);
    if (pause === undefined) return UNLEARNT_HANG;
    return Math.max(SHORTEST_HANG, HANG_FACTOR * pause);
  }

  /** When a call hangs unless it shows progress before. */
  hangsAt(
    call: Pick<RunningCall, "size" | "receiving" | "progressed">,
  ): number {
    return call.progressed + this.hangThreshold(call);
  }

  /** Decides on a call in flight; a hedge takes from the budget. */
  decide(
    call: RunningCall,
    spend: budget.ExtraCallBudget,
    now: number,
  ): Decision {
    const hang = this.hangsAt(call);
    const movable = call.idempotent && call.others && !call.hedged;
    if (!movable) return { type: "wait", until: call.deadline };
    if (now >= hang) return { type: "replace" };
    const bound = this.stragglerThreshold(call.size);
    const due = bound === undefined ? Infinity : call.attempt.started + bound;
    if (now < due) return wait(call, Math.min(due, hang));
    if (this.#pays(call, now) && spend.take(now)) return { type: "hedge" };
    return wait(call, hang);
  }

  /** Whether a fresh call is expected to end before the running one. */
  #pays(call: RunningCall, now: number): boolean {
    const durations = this.#finished[sizeClass(call.size)];
    if (durations === undefined || call.receiving) return false;
    const fresh = durations.quantile(0.5) ?? Infinity;
    if (now + fresh > call.deadline) return false;
    return fresh < remaining(durations, now - call.attempt.started);
  }
}

/** Milliseconds of endpoint time that the loser of a race cost. */
export function wastedTime(loser: request.Attempt, now: number): number {
  return Math.max(0, now - loser.started);
}

/** Median time still to go of a call that has run for `elapsed`; unbounded
 * where no sample ran as long. */
function remaining(
  durations: quantile.DurationHistogram,
  elapsed: number,
): number {
  const done = durations.fractionUpTo(elapsed);
  if (done >= 1) return Infinity;
  const total = durations.quantile(1 - (1 - done) / 2) ?? Infinity;
  return total - elapsed;
}

function wait(call: RunningCall, until: number): Decision {
  return { type: "wait", until: Math.min(until, call.deadline) };
}

function learnt(
  durations: quantile.DurationHistogram | undefined,
  q: number,
): number | undefined {
  if (durations === undefined || durations.total < ENOUGH) return undefined;
  return durations.quantile(q);
}

function sizeClass(size: number): number {
  return Math.min(CLASSES - 1, Math.floor(Math.log2(Math.max(1, size))));
}

function classOf(
  classes: (quantile.DurationHistogram | undefined)[],
  size: number,
): quantile.DurationHistogram {
  return classes[sizeClass(size)] ??= quantile.DurationHistogram.create();
}
