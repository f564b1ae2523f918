/** What other hosts have one engine do, as they tell it.
 * @module */

/** Milliseconds for which a host's message counts: it is sent again sooner while
 * there is something to tell, so that a host that has ended is forgotten. */
const FRESH = 1500;

/** What a host has an engine do. */
export interface HostLoad {
  /** Prompt tokens sent there whose first event has not come. */
  readonly tokens: number;
  /** Requests under way there. */
  readonly streams: number;
}

/** Milliseconds for which a prompt that was placed for a host counts beside its
 * message: its next one, which has the prompt in it, comes sooner. */
const EXPECTED = 250;

const NOTHING: HostLoad = { tokens: 0, streams: 0 };

/** Use of one engine by host; changed in place. */
export class RemoteLoad {
  readonly #uses = new Map<string, HostLoad & { at: number }>();
  readonly #expected = new Map<string, HostLoad & { at: number }>();

  static create(): RemoteLoad {
    return new RemoteLoad();
  }

  /** Notes the message of a host, which holds in place of its last one. */
  record(host: string, { tokens, streams }: HostLoad, at: number): void {
    this.#uses.set(host, { tokens, streams, at });
    this.#expected.delete(host);
  }

  /** Notes a prompt that a host is about to send there, of which it must read
   * so many tokens. */
  reserve(host: string, tokens: number, at: number): void {
    const known = this.#expected.get(host) ?? NOTHING;
    const streams = known.streams + 1;
    this.#expected.set(host, { tokens: known.tokens + tokens, streams, at });
  }

  /** Use by all of them together. */
  total(now: number): HostLoad {
    const told = sumOf(this.#uses, now - FRESH);
    const expected = sumOf(this.#expected, now - EXPECTED);
    return {
      tokens: told.tokens + expected.tokens,
      streams: told.streams + expected.streams,
    };
  }
}

/** Sum of what was noted since a time; forgets the rest. */
function sumOf(
  uses: Map<string, HostLoad & { at: number }>,
  since: number,
): HostLoad {
  let { tokens, streams } = NOTHING;
  for (const [host, use] of uses) {
    if (use.at < since) uses.delete(host);
    else {
      tokens += use.tokens;
      streams += use.streams;
    }
  }
  return { tokens, streams };
}
