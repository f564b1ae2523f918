/** What other hosts have one engine do, as they tell it.
 * @module */

/** Milliseconds for which a host's word counts: it is told again sooner while
 * there is something to tell, so that a host that has ended is forgotten. */
const FRESH = 1500;

/** What a host has an engine do. */
export interface Use {
  /** Prompt tokens sent there whose first event has not come. */
  readonly tokens: number;
  /** Requests under way there. */
  readonly streams: number;
}

const NOTHING: Use = { tokens: 0, streams: 0 };

/** Use of one engine by host; changed in place. */
export class Elsewhere {
  readonly #uses = new Map<string, Use & { at: number }>();

  static create(): Elsewhere {
    return new Elsewhere();
  }

  /** Notes the word of a host, which holds in place of its last one. */
  note(host: string, { tokens, streams }: Use, at: number): void {
    this.#uses.set(host, { tokens, streams, at });
  }

  /** Use by all of them together. */
  sum(now: number): Use {
    let { tokens, streams } = NOTHING;
    for (const [host, use] of this.#uses) {
      if (now - use.at > FRESH) this.#uses.delete(host);
      else {
        tokens += use.tokens;
        streams += use.streams;
      }
    }
    return { tokens, streams };
  }
}
