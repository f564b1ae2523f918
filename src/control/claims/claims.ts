/** Claims on idempotency keys: which host may run a request, and the outcome of
 * the request. A key is granted once; even if its holder fails, it is not
 * granted again before the record of the claim has expired.
 * @module */

import type * as schema from "../../schema/command_types.ts";
import * as trie from "../table/trie.ts";
import * as expiry from "../table/expiry_index.ts";

/** Bounds of the claims; must be equal on all replicas. */
export interface Limits {
  /** Time for which a claim is kept after the end of its lease. */
  retentionMs: number;
  /** Maximum number of claims; when it is reached, new claims are refused as not
   * run. */
  maxCount: number;
  /** Maximum number of characters of all stored answers together; past it only
   * outcomes are stored. */
  maxTotalAnswerLength: number;
  /** Maximum number of characters of one stored answer. */
  maxAnswerLength: number;
}

/** Ten minutes exceed any deadline and the retries after it. A claim takes about
 * 1 KB without its answer, which bounds the memory to 40 MB. */
export const LIMITS: Limits = {
  retentionMs: 600_000,
  maxCount: 32_768,
  maxTotalAnswerLength: 8 * 1024 * 1024,
  maxAnswerLength: 64 * 1024,
};

/** Outcome of a claimed request. */
export type Outcome = "ran" | "unknown";

/** The claim on one key. */
export interface Claim {
  readonly key: string;
  readonly fingerprint: string;
  /** Id of the claim command; the holder must state it to settle the claim. */
  readonly token: string;
  readonly host: string;
  readonly incarnation: number;
  /** Machine time at which a claim that is not settled counts as lost. */
  readonly expires: number;
  /** Absent while the request is running. */
  readonly outcome?: Outcome;
  /** The stored answer; absent also if it was too large to store. */
  readonly answer?: schema.StoredAnswer;
}

/** Reply to a claim command. */
export type ClaimReply =
  | { type: "granted"; token: string }
  | { type: "held"; host: string }
  | { type: "answered"; answer: schema.StoredAnswer }
  | { type: "ended"; outcome: Outcome }
  | { type: "mismatch" }
  | { type: "full" };

/** Reply to a settle command; `lost` if the token does not hold the key any
 * more. */
export type SettleReply = { type: "settled" } | { type: "lost" };

/** The claims after a command, and the reply to it. */
export interface Step<R> {
  claims: Claims;
  reply: R;
}

/** Claims as JSON. */
export interface ClaimsJSON {
  claims: Claim[];
  incarnations: Record<string, number>;
}

interface State {
  limits: Limits;
  claims: trie.Trie<Claim>;
  due: expiry.ExpiryIndex;
  /** Characters of all stored answers together. */
  bytes: number;
  /** Lowest incarnation of each host that may still be running requests. */
  incarnations: Readonly<Record<string, number>>;
}

/** Immutable claims on idempotency keys. */
export class Claims {
  readonly #state: State;

  private constructor(parts: State) {
    this.#state = parts;
  }

  /** Creates an empty set of claims. */
  static create(limits: Limits = LIMITS, now = 0): Claims {
    return new Claims({
      limits,
      claims: trie.Trie.create<Claim>(),
      due: expiry.ExpiryIndex.create(now),
      bytes: 0,
      incarnations: {},
    });
  }

  /** Restores the claims that `toJSON` returned at machine time `now`. */
  static fromJSON(json: ClaimsJSON, limits: Limits = LIMITS, now = 0): Claims {
    let claims = Claims.create(limits, now);
    for (const claim of json.claims) claims = claims.#put(claim);
    return claims.#with({ incarnations: json.incarnations });
  }

  /** Returns the claims in order of their keys. */
  toJSON(): ClaimsJSON {
    const claims = [...this.#state.claims.entries()].map(([, claim]) => claim)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return { claims, incarnations: this.#state.incarnations };
  }

  /** Number of claimed keys. */
  get size(): number {
    return this.#state.claims.size;
  }

  /** Characters of all stored answers together. */
  get bytes(): number {
    return this.#state.bytes;
  }

  /** Grants a key, or replies with the state of the existing claim on it. */
  claim(command: schema.ClaimCommand, now: number): Step<ClaimReply> {
    const updated = this.#withIncarnation(command.host, command.incarnation);
    const known = updated.#state.claims.get(command.key);
    if (known !== undefined) {
      return { claims: updated, reply: updated.#replyFor(known, command, now) };
    }
    if (updated.size >= updated.#state.limits.maxCount) {
      return { claims: updated, reply: { type: "full" } };
    }
    const { key, fingerprint, id: token, host, incarnation, lease } = command;
    const expires = now + lease;
    const claims = updated.#put({
      key,
      fingerprint,
      token,
      host,
      incarnation,
      expires,
    });
    return { claims, reply: { type: "granted", token } };
  }

  /** Settles a claim; the outcome `not-run` releases its key. */
  settle(command: schema.SettleCommand): Step<SettleReply> {
    const known = this.#state.claims.get(command.key);
    if (known === undefined || known.token !== command.token) {
      return { claims: this, reply: { type: "lost" } };
    }
    const reply: SettleReply = { type: "settled" };
    // The outcome `ran` is final: a late or duplicate settlement is ignored.
    if (known.outcome === "ran") return { claims: this, reply };
    if (command.outcome === "not-run") {
      return { claims: this.#drop(known), reply };
    }
    const { answer: _, ...rest } = known;
    const answer = this.#canStore(command.answer) ? command.answer : undefined;
    const settled: Claim = { ...rest, outcome: command.outcome, answer };
    return { claims: this.#put(settled), reply };
  }

  /** Records that runs of `host` with an incarnation below `incarnation` have
   * ended; their unsettled claims count as lost. */
  retire(host: string, incarnation: number): Claims {
    return this.#withIncarnation(host, incarnation);
  }

  /** Returns the lowest incarnation of `host` that may still be running
   * requests. */
  lowestIncarnation(host: string): number {
    return this.#state.incarnations[host] ?? 0;
  }

  /** Returns a copy without the claims that have expired at `now`. */
  sweep(now: number): Claims {
    const { expiry: due, keys } = this.#state.due.sweep(now);
    if (due === this.#state.due) return this;
    let claims = this.#with({ due });
    for (const key of keys) claims = claims.#expire(key, now);
    return claims;
  }

  #replyFor(
    claim: Claim,
    command: schema.ClaimCommand,
    now: number,
  ): ClaimReply {
    if (claim.fingerprint !== command.fingerprint) return { type: "mismatch" };
    if (claim.answer !== undefined) {
      return { type: "answered", answer: claim.answer };
    }
    if (claim.outcome !== undefined) {
      return { type: "ended", outcome: claim.outcome };
    }
    if (this.#isLost(claim, now)) return { type: "ended", outcome: "unknown" };
    // The command is a resend of the one that was granted.
    if (claim.token === command.id) {
      return { type: "granted", token: claim.token };
    }
    return { type: "held", host: claim.host };
  }

  #isLost({ host, incarnation, expires }: Claim, now: number): boolean {
    return now >= expires || incarnation < this.lowestIncarnation(host);
  }

  #withIncarnation(host: string, incarnation: number): Claims {
    const { incarnations } = this.#state;
    if ((incarnations[host] ?? -1) >= incarnation) return this;
    return this.#with({
      incarnations: { ...incarnations, [host]: incarnation },
    });
  }

  #expire(key: string, now: number): Claims {
    const claim = this.#state.claims.get(key);
    if (claim === undefined) return this;
    if (!expiry.isSwept(this.#removalTime(claim), now)) return this;
    return this.#drop(claim);
  }

  #removalTime(claim: Claim): number {
    return claim.expires + this.#state.limits.retentionMs;
  }

  #canStore(answer: schema.StoredAnswer | undefined): boolean {
    if (answer === undefined) return false;
    const { bytes, limits } = this.#state;
    const size = sizeOf(answer);
    return size <= limits.maxAnswerLength &&
      bytes + size <= limits.maxTotalAnswerLength;
  }

  #put(claim: Claim): Claims {
    const { claims, due, bytes } = this.#state;
    const old = claims.get(claim.key);
    return this.#with({
      claims: claims.set(claim.key, claim),
      due: old === undefined
        ? due.add(claim.key, this.#removalTime(claim))
        : due,
      bytes: bytes + sizeOf(claim.answer) - sizeOf(old?.answer),
    });
  }

  #drop({ key, answer }: Claim): Claims {
    const { claims, bytes } = this.#state;
    return this.#with({
      claims: claims.delete(key),
      bytes: bytes - sizeOf(answer),
    });
  }

  #with(parts: Partial<State>): Claims {
    return new Claims({ ...this.#state, ...parts });
  }
}

function sizeOf(answer: schema.StoredAnswer | undefined): number {
  return answer === undefined ? 0 : answer.body.length;
}
