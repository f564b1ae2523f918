/** Claims on idempotency keys: who may run a request, and how it ended. A key
 * is granted once; whatever happens to its holder, it is not granted again
 * until the record has been kept for the stated time.
 * @module */

import type * as schema from "../../schema/command_types.ts";
import * as trie from "../table/trie.ts";
import * as expiry from "../table/expiry_index.ts";

/** Bounds of the claims; equal on all replicas. */
export interface Limits {
  /** Milliseconds that a claim's outcome is kept after its lease. */
  retentionMs: number;
  /** Most claims; past it new ones are refused as not run. */
  maxCount: number;
  /** Characters of all kept answers; past it only outcomes are kept. */
  maxTotalAnswerLength: number;
  /** Characters of one kept answer. */
  maxAnswerLength: number;
}

/** Ten minutes, longer than any deadline and the resends after it. A claim
 * takes about 1 KB without its answer, so the memory is bounded by 40 MB. */
export const LIMITS: Limits = {
  retentionMs: 600_000,
  maxCount: 32_768,
  maxTotalAnswerLength: 8 * 1024 * 1024,
  maxAnswerLength: 64 * 1024,
};

/** How a claimed request ended. */
export type Outcome = "ran" | "unknown";

/** What is known of one key. */
export interface Claim {
  readonly key: string;
  readonly fingerprint: string;
  /** Id of the claim command, which the holder settles with. */
  readonly token: string;
  readonly host: string;
  readonly incarnation: number;
  /** Machine time at which a holder that has not settled counts as lost. */
  readonly expires: number;
  /** Absent while the request runs. */
  readonly outcome?: Outcome;
  /** Absent too when it was too large to keep. */
  readonly answer?: schema.StoredAnswer;
}

/** Answer to a claim. */
export type ClaimReply =
  | { type: "granted"; token: string }
  | { type: "held"; host: string }
  | { type: "answered"; answer: schema.StoredAnswer }
  | { type: "ended"; outcome: Outcome }
  | { type: "mismatch" }
  | { type: "full" };

/** Answer to a settlement; `lost` when the token no longer holds the key. */
export type SettleReply = { type: "settled" } | { type: "lost" };

/** Claims after a command, and its answer. */
export interface Step<R> {
  claims: Claims;
  reply: R;
}

/** Claims as JSON. */
export interface ClaimsJSON {
  claims: Claim[];
  incarnations: Record<string, number>;
}

interface Parts {
  limits: Limits;
  claims: trie.Trie<Claim>;
  due: expiry.ExpiryIndex;
  /** Characters of all kept answers. */
  bytes: number;
  /** Lowest incarnation of each host that may still run something. */
  incarnations: Readonly<Record<string, number>>;
}

/** Immutable set of claims. */
export class Claims {
  readonly #parts: Parts;

  private constructor(parts: Parts) {
    this.#parts = parts;
  }

  /** No claims yet. */
  static create(limits: Limits = LIMITS, now = 0): Claims {
    return new Claims({
      limits,
      claims: trie.Trie.create<Claim>(),
      due: expiry.ExpiryIndex.create(now),
      bytes: 0,
      incarnations: {},
    });
  }

  /** The claims that `toJSON` wrote at machine time `now`. */
  static fromJSON(json: ClaimsJSON, limits: Limits = LIMITS, now = 0): Claims {
    let claims = Claims.create(limits, now);
    for (const claim of json.claims) claims = claims.#put(claim);
    return claims.#with({ incarnations: json.incarnations });
  }

  /** Claims in order of their keys. */
  toJSON(): ClaimsJSON {
    const claims = [...this.#parts.claims.entries()].map(([, claim]) => claim)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return { claims, incarnations: this.#parts.incarnations };
  }

  /** Number of keys known. */
  get size(): number {
    return this.#parts.claims.size;
  }

  /** Characters of the answers kept. */
  get bytes(): number {
    return this.#parts.bytes;
  }

  /** Grants the key, or says what is known of it. */
  claim(command: schema.ClaimCommand, now: number): Step<ClaimReply> {
    const seen = this.#retire(command.host, command.incarnation);
    const known = seen.#parts.claims.get(command.key);
    if (known !== undefined) {
      return { claims: seen, reply: seen.#known(known, command, now) };
    }
    if (seen.size >= seen.#parts.limits.maxCount) {
      return { claims: seen, reply: { type: "full" } };
    }
    const { key, fingerprint, id: token, host, incarnation, lease } = command;
    const expires = now + lease;
    const claims = seen.#put({
      key,
      fingerprint,
      token,
      host,
      incarnation,
      expires,
    });
    return { claims, reply: { type: "granted", token } };
  }

  /** Ends a claim; `not-run` frees its key. */
  settle(command: schema.SettleCommand): Step<SettleReply> {
    const known = this.#parts.claims.get(command.key);
    if (known === undefined || known.token !== command.token) {
      return { claims: this, reply: { type: "lost" } };
    }
    const reply: SettleReply = { type: "settled" };
    // What ran stays ran: a late or doubled settlement changes nothing.
    if (known.outcome === "ran") return { claims: this, reply };
    if (command.outcome === "not-run") {
      return { claims: this.#drop(known), reply };
    }
    const { answer: _, ...rest } = known;
    const answer = this.#fits(command.answer) ? command.answer : undefined;
    const settled: Claim = { ...rest, outcome: command.outcome, answer };
    return { claims: this.#put(settled), reply };
  }

  /** Notes that `host` runs nothing from before `incarnation` any more. */
  retire(host: string, incarnation: number): Claims {
    return this.#retire(host, incarnation);
  }

  /** Lowest incarnation of `host` that may still run something. */
  lowestIncarnation(host: string): number {
    return this.#parts.incarnations[host] ?? 0;
  }

  /** A copy without what has been kept long enough at `now`. */
  sweep(now: number): Claims {
    const { expiry: due, keys } = this.#parts.due.sweep(now);
    if (due === this.#parts.due) return this;
    let claims = this.#with({ due });
    for (const key of keys) claims = claims.#expire(key, now);
    return claims;
  }

  #known(claim: Claim, command: schema.ClaimCommand, now: number): ClaimReply {
    if (claim.fingerprint !== command.fingerprint) return { type: "mismatch" };
    if (claim.answer !== undefined) {
      return { type: "answered", answer: claim.answer };
    }
    if (claim.outcome !== undefined) {
      return { type: "ended", outcome: claim.outcome };
    }
    if (this.#lost(claim, now)) return { type: "ended", outcome: "unknown" };
    // A resend of the command that was granted.
    if (claim.token === command.id) {
      return { type: "granted", token: claim.token };
    }
    return { type: "held", host: claim.host };
  }

  #lost({ host, incarnation, expires }: Claim, now: number): boolean {
    return now >= expires || incarnation < this.lowestIncarnation(host);
  }

  #retire(host: string, incarnation: number): Claims {
    const { incarnations } = this.#parts;
    if ((incarnations[host] ?? -1) >= incarnation) return this;
    return this.#with({
      incarnations: { ...incarnations, [host]: incarnation },
    });
  }

  #expire(key: string, now: number): Claims {
    const claim = this.#parts.claims.get(key);
    if (claim === undefined) return this;
    if (!expiry.isSwept(this.#until(claim), now)) return this;
    return this.#drop(claim);
  }

  #until(claim: Claim): number {
    return claim.expires + this.#parts.limits.retentionMs;
  }

  #fits(answer: schema.StoredAnswer | undefined): boolean {
    if (answer === undefined) return false;
    const { bytes, limits } = this.#parts;
    const size = sizeOf(answer);
    return size <= limits.maxAnswerLength &&
      bytes + size <= limits.maxTotalAnswerLength;
  }

  #put(claim: Claim): Claims {
    const { claims, due, bytes } = this.#parts;
    const old = claims.get(claim.key);
    return this.#with({
      claims: claims.set(claim.key, claim),
      due: old === undefined ? due.add(claim.key, this.#until(claim)) : due,
      bytes: bytes + sizeOf(claim.answer) - sizeOf(old?.answer),
    });
  }

  #drop({ key, answer }: Claim): Claims {
    const { claims, bytes } = this.#parts;
    return this.#with({
      claims: claims.delete(key),
      bytes: bytes - sizeOf(answer),
    });
  }

  #with(parts: Partial<Parts>): Claims {
    return new Claims({ ...this.#parts, ...parts });
  }
}

function sizeOf(answer: schema.StoredAnswer | undefined): number {
  return answer === undefined ? 0 : answer.body.length;
}
