/** Measured throughput of a partition while its queue is never empty. It may be
 * less than the endpoints' calls allow, if their memory for results is full.
 * Items with small results then start as calls allow all the same, so the
 * throughput is measured apart for the items that memory limits and for the
 * rest.
 * @module */

/** Window over which throughput is measured: several calls. */
const WINDOW_MS = 1500;
/** Minimum duration of saturation for a measurement. */
const MIN_SPAN_MS = 400;
/** Minimum of the measured throughput, as a fraction of the nominal one. */
const MIN_RATIO = 0.3;
/** Fraction of the calls that memory must have limited for it to count as the
 * scarce resource. */
const MEMORY_LIMITED_RATIO = 0.5;

/** A started call. */
export interface StartedCall {
  /** Sizes of the results of its items. */
  readonly sizes: readonly number[];
  /** Smallest result for which the endpoint had no memory left, if the call
   * could have taken more items. */
  readonly rejectedSize?: number;
}

/** The resource that items wait for. */
export type ScarceResource = "calls" | "memory";

/** Items that start in turn, and how fast they do. */
export interface Pace {
  /** Items that start per millisecond. */
  readonly rate: number;
  /** What they wait for; undefined if endpoints keep up. */
  readonly scarce?: ScarceResource;
  /** Whether an item whose result has this size is one of them. */
  includes(size: number | undefined): boolean;
}

/** Throughput of one partition. Mutable. */
export class Throughput {
  #calls: (StartedCall & { readonly at: number })[] = [];
  #saturatedSince = Infinity;

  static create(): Throughput {
    return new Throughput();
  }

  /** Records the start of a call. */
  recordCall(call: StartedCall, at: number): void {
    this.#calls.push({ ...call, at });
  }

  /** Records whether at least a full call is still queued after all possible
   * calls have been made. */
  recordSaturation(isSaturated: boolean, now: number): void {
    if (!isSaturated) this.#saturatedSince = Infinity;
    else this.#saturatedSince = Math.min(this.#saturatedSince, now);
    this.#calls = this.#calls.filter(({ at }) => at > now - WINDOW_MS);
  }

  /** Expected pace of the items that compete with one whose result has `size`;
   * with all items if its size is unknown. `nominal` is the number of items per
   * millisecond that endpoints start if memory does not limit them. */
  pace(size: number | undefined, nominal: number, now: number): Pace {
    const from = Math.max(this.#saturatedSince, now - WINDOW_MS);
    const span = now - from;
    const includesAll = () => true;
    if (!(span >= MIN_SPAN_MS)) return { rate: nominal, includes: includesAll };
    const calls = this.#calls.filter(({ at }) => at > from);
    const bounded = (rate: number) =>
      Math.min(nominal, Math.max(MIN_RATIO * nominal, rate));
    const limit = memoryLimitOf(calls);
    if (limit === undefined || size === undefined) {
      const rate = bounded(countItems(calls, includesAll) / span);
      return { rate, scarce: "calls", includes: includesAll };
    }
    const isLimited = (each = Infinity) => each >= limit;
    const limitedRate = countItems(calls, isLimited) / span;
    return isLimited(size)
      ? { rate: bounded(limitedRate), scarce: "memory", includes: isLimited }
      : {
        rate: bounded(nominal - limitedRate),
        scarce: "calls",
        includes: (each) => !isLimited(each),
      };
  }
}

/** Size of results from which memory limits the items that start; undefined if
 * it does not limit most calls. */
function memoryLimitOf(calls: readonly StartedCall[]): number | undefined {
  const sizes = calls.flatMap(({ rejectedSize }) => rejectedSize ?? []);
  return sizes.length > MEMORY_LIMITED_RATIO * calls.length
    ? Math.min(...sizes)
    : undefined;
}

function countItems(
  calls: readonly StartedCall[],
  includes: (size: number) => boolean,
): number {
  return calls.reduce(
    (sum, { sizes }) => sum + sizes.filter(includes).length,
    0,
  );
}
