/** The rate limit that an endpoint advertises in its responses, and how it ends
 * once responses advertise none.
 * @module */

import type * as schema from "../schema/fleet_types.ts";

/** Minimum rate of all hosts together, in requests per second, even if an
 * endpoint accepts none: without requests no response would show that it
 * accepts some again. */
const MIN_RATE = 0.25;
/** Time in which the rate doubles once responses advertise no limit. If all
 * hosts resumed at once, the endpoint would be overloaded again. */
const DOUBLING_MS = 1000;
/** Time from the end of a limit until the rate is unlimited. */
const RECOVERY_MS = 6000;
/** Time for which the end of a limit is sent to other hosts. */
const END_RETENTION_MS = 10_000;
/** Time after which a limit expires that no response confirms or ends. */
const RETENTION_MS = 60_000;
/** Time by which a statement must be newer to replace another one. Its age
 * grows with the transit time of each message, and responses may arrive out of
 * order. */
const MIN_AGE_DIFFERENCE_MS = 300;

/** A statement about the limit of one incarnation of an endpoint. Immutable.
 * Times are milliseconds on the clock of the host that holds it. */
export class EndpointLimit {
  readonly endpoint: string;
  /** Requests per second of all hosts together, as last advertised. */
  readonly limit: number;
  readonly advertisedAt: number;
  /** Time of the first response that advertised no limit; undefined while
   * responses advertise one. */
  readonly endedAt?: number;

  private constructor(
    { endpoint, limit, advertisedAt, endedAt }: Pick<
      EndpointLimit,
      "endpoint" | "limit" | "advertisedAt" | "endedAt"
    >,
  ) {
    this.endpoint = endpoint;
    this.limit = limit;
    this.advertisedAt = advertisedAt;
    this.endedAt = endedAt;
  }

  /** A limit that a response has advertised. */
  static advertised(
    endpoint: string,
    { limit, now }: { limit: number; now: number },
  ): EndpointLimit {
    return new EndpointLimit({ endpoint, limit, advertisedAt: now });
  }

  /** Converts a limit from a message. */
  static decode(
    { endpoint, limit, age, ended }: schema.EndpointLimit,
    now: number,
  ): EndpointLimit {
    const endedAt = ended === undefined ? undefined : now - ended;
    return new EndpointLimit({
      endpoint,
      limit,
      advertisedAt: now - age,
      endedAt,
    });
  }

  /** Converts the limit for a message. */
  encode(now: number): schema.EndpointLimit {
    const { endpoint, limit, advertisedAt, endedAt } = this;
    return {
      endpoint,
      limit,
      age: Math.max(0, Math.round(now - advertisedAt)),
      ...(endedAt !== undefined &&
        { ended: Math.max(0, Math.round(now - endedAt)) }),
    };
  }

  /** Records a response that advertises no limit. */
  end(now: number): EndpointLimit {
    if (
      this.endedAt !== undefined ||
      now - this.advertisedAt < MIN_AGE_DIFFERENCE_MS
    ) {
      return this;
    }
    return new EndpointLimit({ ...this, endedAt: now });
  }

  /** Returns the newer of two statements. */
  merge(other: EndpointLimit): EndpointLimit {
    const difference = other.updatedAt - this.updatedAt;
    return difference > MIN_AGE_DIFFERENCE_MS ? other : this;
  }

  /** Current rate of all hosts together in requests per second; infinite once
   * it is unlimited. */
  rate(now: number): number {
    const base = Math.max(MIN_RATE, this.limit);
    if (this.endedAt === undefined) return base;
    const elapsed = now - this.endedAt;
    return elapsed >= RECOVERY_MS
      ? Infinity
      : base * 2 ** (elapsed / DOUBLING_MS);
  }

  /** Whether the statement has expired. */
  isExpired(now: number): boolean {
    return this.endedAt === undefined
      ? now - this.advertisedAt > RETENTION_MS
      : now - this.endedAt > END_RETENTION_MS;
  }

  /** Time of the last response that the statement is based on. */
  get updatedAt(): number {
    return this.endedAt ?? this.advertisedAt;
  }
}
