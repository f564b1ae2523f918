/** Records the answer to each edit by its operation id, which makes edits
 * idempotent: a resent edit gets the first answer and is not applied again.
 * @module */

import * as crypto from "node:crypto";
import type * as schema from "../../schema/table_types.ts";
import * as expiry from "./expiry_index.ts";
import type * as table from "./table.ts";
import * as trie from "./trie.ts";

/** Bounds of the record; must be equal on all replicas. */
export interface Limits {
  /** Machine time for which an answer is kept. */
  retentionMs: number;
  /** Maximum number of answers. When it is reached, new edits are refused; no
   * answer is dropped early. */
  maxCount: number;
}

/** Ten minutes exceed every retry: forwarding retries for 10 s and the command
 * line for 60 s. An answer takes about 600 bytes, which bounds the record to
 * 20 MB. */
export const LIMITS: Limits = { retentionMs: 600_000, maxCount: 32_768 };

/** Characters of a fingerprint, of six bits each. */
const FINGERPRINT_LENGTH = 16;

/** The answer to an edit, with the fingerprint of the edit. */
interface RecordedAnswer {
  answer: table.Answer;
  /** Distinguishes a resend from another edit with the same operation id. */
  fingerprint: string;
  /** Machine time of the first answer. */
  at: number;
}

/** Recorded answers as JSON. */
export type OperationsJSON = ({ operation: string } & RecordedAnswer)[];

/** The first answer to an edit or a refusal; undefined if the edit is to be
 * applied. */
export type KnownResult = table.Answer | undefined;

/** Immutable record of the answers to edits. */
export class Operations {
  readonly #limits: Limits;
  readonly #answers: trie.Trie<RecordedAnswer>;
  readonly #expiry: expiry.ExpiryIndex;

  private constructor(
    limits: Limits,
    answers: trie.Trie<RecordedAnswer>,
    due: expiry.ExpiryIndex,
  ) {
    this.#limits = limits;
    this.#answers = answers;
    this.#expiry = due;
  }

  /** Creates an empty record. */
  static create(limits: Limits = LIMITS, now = 0): Operations {
    return new Operations(
      limits,
      trie.Trie.create<RecordedAnswer>(),
      expiry.ExpiryIndex.create(now),
    );
  }

  /** Restores the record that `toJSON` returned. */
  static fromJSON(
    json: OperationsJSON,
    limits: Limits = LIMITS,
    now = 0,
  ): Operations {
    let operations = Operations.create(limits, now);
    for (const { operation, ...recorded } of json) {
      operations = operations.#add(operation, recorded);
    }
    return operations;
  }

  /** Returns the answers in order of time, then of operation id. */
  toJSON(): OperationsJSON {
    return [...this.#answers.entries()]
      .map(([operation, recorded]) => ({ operation, ...recorded }))
      .sort((a, b) => a.at - b.at || (a.operation < b.operation ? -1 : 1));
  }

  /** Number of recorded answers. */
  get size(): number {
    return this.#answers.size;
  }

  /** Returns the first answer to a resent edit, a refusal if the operation id
   * was used for another edit or if the record is full, or undefined if the
   * edit is to be applied. */
  find(edit: schema.Edit): KnownResult {
    const recorded = this.#answers.get(edit.operation);
    if (recorded === undefined) {
      if (this.#answers.size < this.#limits.maxCount) return undefined;
      return { type: "refused", detail: "too many edits in a short time" };
    }
    if (recorded.fingerprint === fingerprintOf(edit)) return recorded.answer;
    const detail = `operation ${edit.operation} was used for another edit`;
    return { type: "refused", detail };
  }

  /** Returns a copy that records `answer` as the first one to `edit`. */
  add(edit: schema.Edit, answer: table.Answer, at: number): Operations {
    const fingerprint = fingerprintOf(edit);
    return this.#add(edit.operation, { answer, fingerprint, at });
  }

  /** Returns a copy without the answers that have expired at `now`. */
  sweep(now: number): Operations {
    const { expiry: remaining, keys } = this.#expiry.sweep(now);
    if (remaining === this.#expiry) return this;
    let answers = this.#answers;
    for (const key of keys) answers = answers.delete(key);
    return new Operations(this.#limits, answers, remaining);
  }

  #add(operation: string, recorded: RecordedAnswer): Operations {
    return new Operations(
      this.#limits,
      this.#answers.set(operation, recorded),
      this.#expiry.add(operation, recorded.at + this.#limits.retentionMs),
    );
  }
}

/** Returns a hash of an edit that does not depend on the order of keys in its
 * JSON. */
function fingerprintOf({ actor, changes }: schema.Edit): string {
  const parts = changes.map(({ row, column, version, value }) => [
    row,
    column,
    version,
    value,
  ]);
  return crypto.createHash("sha256").update(JSON.stringify([actor, parts]))
    .digest("base64url").slice(0, FINGERPRINT_LENGTH);
}
