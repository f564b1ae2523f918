/** Keeps every try of every request, for the checks after a run.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import * as client from "../../standins/experiment/client.ts";
import type * as plan from "../../standins/experiment/plan.ts";
import type * as verify from "../../standins/experiment/verify.ts";
import type * as ledger from "../../standins/ledger.ts";
import * as audit from "./audit.ts";

/** What a witness needs. */
export interface Options {
  tokens: ReadonlyMap<string, string>;
  ledger: ledger.Ledger;
  clock: runtime.Clock;
}

/** Breaches by name, and the requests of some of them. */
export interface Verdict {
  requests: number;
  /** Tries whose answer was lost to the caller by a fault of its host. */
  lost: number;
  /** How the tries ended, by problem and outcome. */
  replies: Record<string, number>;
  breaches: Record<string, number>;
  examples: Example[];
}

/** One request with a breach. */
export interface Example {
  marker: string;
  breaches: audit.Breach[];
  attempts: Omit<audit.Attempt, "reply">[];
  replies: string[];
}

const MOST_EXAMPLES = 20;

/** Sends requests as callers do and notes what came back. */
export class Witness {
  readonly #options: Options;
  readonly #client: client.Client;
  readonly #cases = new Map<string, Note>();

  private constructor(options: Options) {
    this.#options = options;
    this.#client = new client.Client({ tokens: options.tokens });
  }

  static create(options: Options): Witness {
    return new Witness(options);
  }

  /** Breaks what is still open. */
  async stop(): Promise<void> {
    await this.#client.stop();
  }

  /** Sends a request once. */
  async send(
    planned: plan.Planned,
    made: client.Try,
  ): Promise<verify.Reply> {
    const { clock, ledger } = this.#options;
    const { marker, entry: { maxTokens, idempotent } } = planned;
    const note = this.#cases.get(marker.id) ?? {
      expected: {
        marker,
        idempotent: idempotent !== false,
        ...(maxTokens === undefined ? {} : { maxTokens }),
      },
      attempts: [],
    };
    this.#cases.set(marker.id, note);
    const sent = clock.now();
    const reply = await this.#client.send(planned, made);
    note.attempts.push({
      host: made.host,
      sent,
      ended: clock.now(),
      reply,
      runs: ledger.runs(marker.id),
    });
    return reply;
  }

  /** Checks all that was sent. */
  judge(disturbances: readonly audit.Disturbance[]): Verdict {
    const { owners } = this.#options.ledger.totals();
    const verdict: Verdict = {
      requests: this.#cases.size,
      lost: 0,
      replies: {},
      breaches: {},
      examples: [],
    };
    for (const [marker, note] of this.#cases) {
      const shares = owners[marker];
      const breaches = audit.check(note, { shares, disturbances });
      count(verdict, note);
      for (const breach of breaches) add(verdict.breaches, breach);
      if (breaches.length === 0) continue;
      if (verdict.examples.length === MOST_EXAMPLES) continue;
      verdict.examples.push(example(note, breaches));
    }
    return verdict;
  }
}

interface Note extends audit.Case {
  attempts: audit.Attempt[];
}

function count(verdict: Verdict, { attempts }: Note): void {
  for (const { reply } of attempts) {
    add(verdict.replies, describe(reply));
    if (reply.type === "broken" || reply.type === "silence") verdict.lost++;
  }
}

function example(note: Note, breaches: audit.Breach[]): Example {
  const { expected, attempts } = note;
  return {
    marker: expected.marker.id,
    breaches,
    attempts: attempts.map(({ reply: _, ...rest }) => rest),
    replies: attempts.map(({ reply }) => describe(reply)),
  };
}

/** Short name of a reply. */
export function describe(reply: verify.Reply): string {
  if (reply.type !== "problem") return reply.type;
  return `${reply.name}/${reply.outcome}`;
}

function add(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
