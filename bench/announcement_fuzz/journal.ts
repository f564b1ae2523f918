/** Arrivals of calls at endpoints, and the rules that they must keep.
 * @module */

/** Time after an announced departure in which calls may still arrive. */
const LEAVING_GRACE_MS = 2000;
/** Time after a rejection in which calls may still arrive, and how many may
 * arrive in the rest of the backoff. */
const BACKOFF_GRACE_MS = 500;
const MAX_CALLS_IN_BACKOFF = 2;

/** A rule was broken. */
export class Violation extends Error {
  override readonly name = "Violation";
}

interface Record {
  readonly arrivals: number[];
  /** When the host received the first announcement of a departure. */
  toldAt: number;
  readonly backoffs: { readonly at: number; readonly duration: number }[];
}

/** Arrivals by host process and endpoint incarnation. Mutable. */
export class Journal {
  readonly #records = new Map<string, Record>();

  /** Records a call of a host process at an endpoint. */
  arrive(host: string, endpoint: string, now: number): void {
    this.#recordOf(host, endpoint).arrivals.push(now);
  }

  /** Records that an answer has announced the endpoint's departure. */
  tellLeaving(host: string, endpoint: string, now: number): void {
    const record = this.#recordOf(host, endpoint);
    record.toldAt = Math.min(record.toldAt, now);
  }

  /** Records a rejection with a backoff of `duration` milliseconds. */
  askBackoff(
    host: string,
    endpoint: string,
    backoff: { at: number; duration: number },
  ): void {
    this.#recordOf(host, endpoint).backoffs.push(backoff);
  }

  /** Throws a `Violation` if a rule was broken. */
  check(): void {
    for (const [key, { arrivals, toldAt, backoffs }] of this.#records) {
      const late = arrivals.filter((at) => at > toldAt + LEAVING_GRACE_MS);
      if (late.length > 0) {
        throw new Violation(`${key}: ${late.length} calls after ${toldAt}`);
      }
      for (const { at: from, duration } of backoffs) {
        const count = arrivals.filter((at) =>
          at > from + BACKOFF_GRACE_MS && at < from + duration
        ).length;
        if (count > MAX_CALLS_IN_BACKOFF) {
          throw new Violation(
            `${key}: ${count} calls in ${duration} ms from ${from}`,
          );
        }
      }
    }
  }

  #recordOf(host: string, endpoint: string): Record {
    const key = `${host} to ${endpoint}`;
    const record = this.#records.get(key) ??
      { arrivals: [], toldAt: Infinity, backoffs: [] };
    this.#records.set(key, record);
    return record;
  }
}
