/** Measured throughput of a partition while its queue is never empty. It may be
 * less than the endpoints' calls allow, if calls pass over queued items: their
 * results do not fit into an endpoint's memory, or they wait for an endpoint in
 * the data centre of their data. Such calls have places left, in which items
 * with smaller results start before their turn.
 * @module */

/** Window over which throughput is measured: several calls. */
const WINDOW_MS = 1500;
/** Minimum duration of saturation for a measurement. */
const MIN_SPAN_MS = 400;
/** Minimum of the measured throughput, as a fraction of the nominal one. */
const MIN_RATIO = 0.3;
/** Fraction of the calls that must have passed over items for these to wait for
 * one another alone. */
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
  /** Items that the call could have taken beside its own. */
  readonly freePlaces: number;
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
  /** Whether they take places that calls have left, so that the first of them
   * waits for a place, too. */
  readonly takesFreePlaces?: boolean;
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

  /** Expected paces at which an item whose result has `size` comes to its turn:
   * it starts by the first of them. Items of unknown size wait for all others.
   * `nominal` is the number of items per millisecond that endpoints start in
   * full calls. */
  paces(size: number | undefined, nominal: number, now: number): Pace[] {
    const from = Math.max(this.#saturatedSince, now - WINDOW_MS);
    const span = now - from;
    if (!(span >= MIN_SPAN_MS)) {
      return [{ rate: nominal, includes: () => true }];
    }
    const calls = this.#calls.filter(({ at }) => at > from);
    const rateOf = (count: number) =>
      Math.min(nominal, Math.max(MIN_RATIO * nominal, count / span));
    const all: Pace = {
      rate: rateOf(calls.reduce((sum, { sizes }) => sum + sizes.length, 0)),
      scarce: "calls",
      includes: () => true,
    };
    const passing = calls.filter(({ passedOver }) => passedOver !== undefined);
    const passedOver = typicalPassedOver(passing);
    if (passedOver === undefined || size === undefined) return [all];
    const isLikeIt = (each = Infinity) => each >= passedOver.size;
    if (isLikeIt(size)) {
      if (passing.length <= MIN_PASSING_RATIO * calls.length) return [all];
      const count = calls.flatMap(({ sizes }) => sizes).filter(isLikeIt).length;
      const { reason: scarce } = passedOver;
      return [{ rate: rateOf(count), scarce, includes: isLikeIt }];
    }
    const free = passing.reduce((sum, { freePlaces }) => sum + freePlaces, 0);
    if (free === 0) return [all];
    return [all, {
      rate: free / span,
      scarce: "calls",
      takesFreePlaces: true,
      includes: (each) => !isLikeIt(each),
    }];
  }
}

/** The passed over item of median size, so that an exception does not count. */
function typicalPassedOver(
  passing: readonly StartedCall[],
): PassedOverItem | undefined {
  const items = passing.flatMap(({ passedOver }) => passedOver ?? []);
  items.sort((one, other) => one.size - other.size);
  return items[Math.floor(items.length / 2)];
}
