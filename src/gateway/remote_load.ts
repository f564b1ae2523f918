/** Load of other hosts on one engine, from their load updates.
 * @module */

/** Milliseconds for which a host's update counts. While there is load the
 * update is sent again sooner, so that only a host that has ended expires. */
const UPDATE_LIFETIME_MS = 1500;

/** Load of one host on an engine. */
export interface HostLoad {
  /** Prompt tokens sent there that await their first event. */
  readonly tokens: number;
  /** Requests in flight there. */
  readonly streams: number;
}

/** Milliseconds for which a prompt placed for a host counts in addition to its
 * update: the host's next update, which includes the prompt, arrives sooner. */
const RESERVATION_LIFETIME_MS = 250;

const NO_LOAD: HostLoad = { tokens: 0, streams: 0 };

/** Load on one engine by host; changed in place. */
export class RemoteLoad {
  readonly #updates = new Map<string, HostLoad & { at: number }>();
  readonly #reservations = new Map<string, HostLoad & { at: number }>();

  static create(): RemoteLoad {
    return new RemoteLoad();
  }

  /** Records a host's update, which replaces its last one. */
  record(host: string, { tokens, streams }: HostLoad, at: number): void {
    this.#updates.set(host, { tokens, streams, at });
    this.#reservations.delete(host);
  }

  /** Reserves the load of a prompt that a host is about to send, with `tokens`
   * tokens to prefill. */
  reserve(host: string, tokens: number, at: number): void {
    const previous = this.#reservations.get(host) ?? NO_LOAD;
    const streams = previous.streams + 1;
    this.#reservations.set(host, {
      tokens: previous.tokens + tokens,
      streams,
      at,
    });
  }

  /** Total load of all hosts. */
  total(now: number): HostLoad {
    const updated = sumSince(this.#updates, now - UPDATE_LIFETIME_MS);
    const reserved = sumSince(
      this.#reservations,
      now - RESERVATION_LIFETIME_MS,
    );
    return {
      tokens: updated.tokens + reserved.tokens,
      streams: updated.streams + reserved.streams,
    };
  }
}

/** Sum of the loads recorded since a time; deletes older ones. */
function sumSince(
  loads: Map<string, HostLoad & { at: number }>,
  since: number,
): HostLoad {
  let { tokens, streams } = NO_LOAD;
  for (const [host, load] of loads) {
    if (load.at < since) loads.delete(host);
    else {
      tokens += load.tokens;
      streams += load.streams;
    }
  }
  return { tokens, streams };
}
