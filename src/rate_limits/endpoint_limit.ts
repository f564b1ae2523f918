/** The rate limit that an endpoint names in its answers, for as long as it does.
 * @module */

import type * as schema from "../schema/fleet_types.ts";

/** Requests a second at which an endpoint is asked that takes none: else nobody
 * would hear that it takes some again. */
const ASKING_RATE = 0.25;
/** Milliseconds in which the rate doubles once answers name no limit any more:
 * all hosts at once would bring about the next need. */
const DOUBLING = 1000;
/** Milliseconds after which it is unlimited again. */
const RECOVERY = 6000;
/** Milliseconds for which that it is unlimited is told. */
const TOLD = 10_000;
/** Milliseconds after which a limit is forgotten that no answer names or
 * denies. */
const MEMORY = 60_000;
/** Milliseconds by which a statement must be newer to replace another: its age
 * grows by the way of each message, and answers overtake each other. */
const NEWER = 300;

/** An immutable statement about one incarnation of an endpoint. Times are
 * milliseconds of the clock of the host that holds it. */
export class EndpointLimit {
  readonly endpoint: string;
  /** Requests a second from all hosts together, as last named. */
  readonly limit: number;
  readonly advertisedAt: number;
  /** When an answer first named none again; absent while answers name it. */
  readonly endedAt?: number;

  private constructor(
    { endpoint, limit, advertisedAt: namedAt, endedAt }: Pick<
      EndpointLimit,
      "endpoint" | "limit" | "advertisedAt" | "endedAt"
    >,
  ) {
    this.endpoint = endpoint;
    this.limit = limit;
    this.advertisedAt = namedAt;
    this.endedAt = endedAt;
  }

  /** As an answer has named it. */
  static advertised(
    endpoint: string,
    { limit, now }: { limit: number; now: number },
  ): EndpointLimit {
    return new EndpointLimit({ endpoint, limit, advertisedAt: now });
  }

  /** Out of a message. */
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

  /** As a message carries it. */
  encode(now: number): schema.EndpointLimit {
    const { endpoint, limit, advertisedAt: namedAt, endedAt } = this;
    return {
      endpoint,
      limit,
      age: Math.max(0, Math.round(now - namedAt)),
      ...(endedAt !== undefined &&
        { ended: Math.max(0, Math.round(now - endedAt)) }),
    };
  }

  /** Notes an answer that names no limit. */
  end(now: number): EndpointLimit {
    if (this.endedAt !== undefined || now - this.advertisedAt < NEWER) {
      return this;
    }
    return new EndpointLimit({ ...this, endedAt: now });
  }

  /** The newer of two statements. */
  merge(other: EndpointLimit): EndpointLimit {
    const lead = other.updatedAt - this.updatedAt;
    return lead > NEWER ? other : this;
  }

  /** Requests a second that may go there now; endless once it is unlimited. */
  rate(now: number): number {
    const named = Math.max(ASKING_RATE, this.limit);
    if (this.endedAt === undefined) return named;
    const past = now - this.endedAt;
    return past >= RECOVERY ? Infinity : named * 2 ** (past / DOUBLING);
  }

  /** Whether nothing need be remembered of it. */
  isExpired(now: number): boolean {
    return this.endedAt === undefined
      ? now - this.advertisedAt > MEMORY
      : now - this.endedAt > TOLD;
  }

  /** When an answer last said something of it. */
  get updatedAt(): number {
    return this.endedAt ?? this.advertisedAt;
  }
}
