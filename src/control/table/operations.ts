/** Remembers the answer to each edit by its operation id, so that a resent
 * edit is answered again and not applied twice.
 * @module */

import * as crypto from "node:crypto";
import type * as schema from "../../schema/table_types.ts";
import * as expiry from "./expiry_index.ts";
import type * as table from "./table.ts";
import * as trie from "./trie.ts";

/** Bounds of the memory; equal on all replicas. */
export interface Limits {
  /** Milliseconds of the machine's time that an answer is kept. */
  retentionMs: number;
  /** Most answers kept; past it new edits are refused, never forgotten. */
  maxCount: number;
}

/** Ten minutes: forwarding retries for 10 s and the command line for 60 s. A
 * kept answer takes about 600 bytes, so the memory is bounded by 20 MB. */
export const LIMITS: Limits = { retentionMs: 600_000, maxCount: 32_768 };

/** Characters of a fingerprint, six bits each. */
const FINGERPRINT = 16;

/** An answer with what it belongs to. */
interface Operation {
  answer: table.Answer;
  /** Tells an operation id used for another edit from a resend. */
  fingerprint: string;
  /** Machine time of the first answer. */
  at: number;
}

/** Remembered answers as JSON. */
export type OperationsJSON = ({ operation: string } & Operation)[];

/** What is known of an edit: its first answer, or why it cannot be applied. */
export type KnownResult = table.Answer | undefined;

/** Immutable memory of answers. */
export class Operations {
  readonly #limits: Limits;
  readonly #answers: trie.Trie<Operation>;
  readonly #expiry: expiry.ExpiryIndex;

  private constructor(
    limits: Limits,
    answers: trie.Trie<Operation>,
    due: expiry.ExpiryIndex,
  ) {
    this.#limits = limits;
    this.#answers = answers;
    this.#expiry = due;
  }

  /** An empty memory. */
  static create(limits: Limits = LIMITS, now = 0): Operations {
    return new Operations(
      limits,
      trie.Trie.create<Operation>(),
      expiry.ExpiryIndex.create(now),
    );
  }

  /** The memory that `toJSON` wrote. */
  static fromJSON(
    json: OperationsJSON,
    limits: Limits = LIMITS,
    now = 0,
  ): Operations {
    let operations = Operations.create(limits, now);
    for (const { operation, ...known } of json) {
      operations = operations.#add(operation, known);
    }
    return operations;
  }

  /** Answers in order of time, then of operation id. */
  toJSON(): OperationsJSON {
    return [...this.#answers.entries()]
      .map(([operation, known]) => ({ operation, ...known }))
      .sort((a, b) => a.at - b.at || (a.operation < b.operation ? -1 : 1));
  }

  /** Number of answers kept. */
  get size(): number {
    return this.#answers.size;
  }

  /** The first answer to a resend, a refusal for an id used twice or for want
   * of room, or undefined for an edit that is to be applied. */
  find(edit: schema.Edit): KnownResult {
    const known = this.#answers.get(edit.operation);
    if (known === undefined) {
      if (this.#answers.size < this.#limits.maxCount) return undefined;
      return { type: "refused", detail: "too many edits in a short time" };
    }
    if (known.fingerprint === fingerprintOf(edit)) return known.answer;
    const detail = `operation ${edit.operation} was used for another edit`;
    return { type: "refused", detail };
  }

  /** A copy that knows `answer` as the first one to `edit`. */
  add(edit: schema.Edit, answer: table.Answer, at: number): Operations {
    const fingerprint = fingerprintOf(edit);
    return this.#add(edit.operation, { answer, fingerprint, at });
  }

  /** A copy without what has been kept long enough at `now`. */
  sweep(now: number): Operations {
    const { expiry: rest, keys } = this.#expiry.sweep(now);
    if (rest === this.#expiry) return this;
    let answers = this.#answers;
    for (const key of keys) answers = answers.delete(key);
    return new Operations(this.#limits, answers, rest);
  }

  #add(operation: string, known: Operation): Operations {
    return new Operations(
      this.#limits,
      this.#answers.set(operation, known),
      this.#expiry.add(operation, known.at + this.#limits.retentionMs),
    );
  }
}

/** Hash over the parts of an edit, whatever the order of its keys. */
function fingerprintOf({ actor, changes }: schema.Edit): string {
  const parts = changes.map(({ row, column, version, value }) => [
    row,
    column,
    version,
    value,
  ]);
  return crypto.createHash("sha256").update(JSON.stringify([actor, parts]))
    .digest("base64url").slice(0, FINGERPRINT);
}
