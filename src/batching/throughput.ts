/** Measured throughput of a partition while its queue is never empty. It may be
 * less than the endpoints' calls allow, if calls pass over queued items: their
 * results do not fit into an endpoint's memory, or they wait for an endpoint in
 * the data centre of their data. Items with small results then start as calls
 * allow all the same, so the throughput is measured apart for items like those
 * that are passed over and for the rest.
 * @module */

/** Window over which throughput is measured: several calls. */
const WINDOW_MS = 1500;
/** Minimum duration of saturation for a measurement. */
const MIN_SPAN_MS = 400;
/** Minimum of the measured throughput, as a fraction of the nominal one. */
const MIN_RATIO = 0.3;
/** Fraction of the calls that must have passed over items for these to count
 * apart. */
const MIN_PASSING_RATIO = 0.5;

/** A queued item that a call did not take although it was not full: the
 * endpoint had no memory for its result, or the item waits for an endpoint that
 * suits it better. */
export interface PassedOverItem {
  /** Size of its result. */
  readonly size: number;
  readonly reason: "memory" | "placement";
}

/** A started call. */
export interface StartedCall {
  /** Sizes of the results of its items. */
  readonly sizes: readonly number[];
  /** The passed over item with the smallest result. */
  readonly passedOver?: PassedOverItem;
}

/** What items wait for: a call with room for them, or what makes calls pass
 * them over. */
export type ScarceResource = "calls" | PassedOverItem["reason"];

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
   * millisecond that endpoints start in full calls. */
  pace(size: number | undefined, nominal: number, now: number): Pace {
    const from = Math.max(this.#saturatedSince, now - WINDOW_MS);
    const span = now - from;
    const includesAll = () => true;
    if (!(span >= MIN_SPAN_MS)) return { rate: nominal, includes: includesAll };
    const calls = this.#calls.filter(({ at }) => at > from);
    const bounded = (rate: number) =>
      Math.min(nominal, Math.max(MIN_RATIO * nominal, rate));
    const passedOver = typicalPassedOver(calls);
    if (passedOver === undefined || size === undefined) {
      const rate = bounded(countItems(calls, includesAll) / span);
      return { rate, scarce: "calls", includes: includesAll };
    }
    const isLikeIt = (each = Infinity) => each >= passedOver.size;
    const slowRate = countItems(calls, isLikeIt) / span;
    return isLikeIt(size)
      ? {
        rate: bounded(slowRate),
        scarce: passedOver.reason,
        includes: isLikeIt,
      }
      : {
        rate: bounded(nominal - slowRate),
        scarce: "calls",
        includes: (each) => !isLikeIt(each),
      };
  }
}

/** The passed over item of median size; undefined unless most calls passed over
 * one. */
function typicalPassedOver(
  calls: readonly StartedCall[],
): PassedOverItem | undefined {
  const items = calls.flatMap(({ passedOver }) => passedOver ?? []);
  if (items.length <= MIN_PASSING_RATIO * calls.length) return undefined;
  items.sort((one, other) => one.size - other.size);
  return items[Math.floor(items.length / 2)];
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
