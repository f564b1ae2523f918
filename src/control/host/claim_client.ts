/** Claims of idempotency keys for the request path of this host.
 * @module */

import * as crypto from "node:crypto";
import type * as command from "../../schema/command_types.ts";
import type * as request from "../../request/mod.ts";
import type * as claims from "../claims/mod.ts";
import type * as table from "../table/mod.ts";
import * as errors from "./errors.ts";

/** Most milliseconds that a claim may take of a request's deadline. */
const CLAIM_TIMEOUT = 2_000;

/** Milliseconds over which a settlement is sent again and again. */
const SETTLE_TIMEOUT = 30_000;

/** Milliseconds that a claim outlives the deadline of its request. */
const LEASE_MARGIN = 2_000;

/** Longest lease; see schema/command.yaml. */
const MOST_LEASE = 600_000;

/** Proposes a command within milliseconds, or rejects with `ControlError`. */
export type Propose = (
  command: command.Command,
  timeout: number,
) => Promise<table.Reply>;

/** What a keeper needs of its host. */
export interface ClaimClientOptions {
  self: string;
  /** Tells the runs of this host apart. */
  incarnation: number;
  /** Announces this run within `timeout` milliseconds, or rejects with
   * `ControlError`; gives the incarnation that counts for its claims. */
  announce(timeout: number): Promise<number>;
  propose: Propose;
}

/** Makes and settles claims. */
export class ClaimClient implements request.Claims {
  readonly #options: ClaimClientOptions;
  /** Tokens of the claims granted here, by id of their request. */
  readonly #tokens = new Map<string, string>();
  readonly #settling = new Set<Promise<void>>();
  /** Known once this run was announced. */
  #incarnation: number | undefined;
  #count = 0;

  private constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /** A keeper without claims. */
  static create(options: ClaimClientOptions): ClaimClient {
    return new ClaimClient(options);
  }

  /** Number of claims granted here that are not settled yet. */
  get size(): number {
    return this.#tokens.size;
  }

  /** Asks a quorum for the right to run a request. */
  async claim(claim: request.Claim): Promise<request.ClaimResult> {
    const { self: host, announce, propose } = this.#options;
    const whole = Math.min(CLAIM_TIMEOUT, claim.remaining);
    const timeout = this.#incarnation === undefined ? whole / 2 : whole;
    const id = this.#nextId();
    const lease = Math.ceil(claim.remaining) + LEASE_MARGIN;
    try {
      const entry: command.ClaimCommand = {
        type: "claim",
        id,
        key: keyOf(claim),
        fingerprint: claim.fingerprint,
        host,
        incarnation: this.#incarnation ??= await announce(timeout),
        lease: Math.min(lease, MOST_LEASE),
      };
      const reply = await propose(entry, timeout) as claims.ClaimReply;
      if (reply.type === "granted") this.#tokens.set(claim.request, id);
      return results[reply.type](reply as never);
    } catch (error) {
      if (!(error instanceof errors.ControlError)) throw error;
      // This try is not dispatched, even if the claim is granted in the end.
      this.#settle(claim, { token: id, outcome: "not-run" });
      const detail = `The key cannot be claimed: ${error.message}`;
      // An earlier try under this key may have run through another host.
      return { type: "refused", detail, outcome: "unknown" };
    }
  }

  /** Keeps the final answer; undefined gives the claim back as not run. */
  settle(claim: request.Claim, answer: request.StoredAnswer | undefined): void {
    const token = this.#tokens.get(claim.request);
    if (token === undefined) return;
    this.#tokens.delete(claim.request);
    const outcome = answer === undefined ? "not-run" : "ran";
    this.#settle(claim, { token, outcome, answer: toKeep(answer) });
  }

  /** Resolves once no settlement is under way. */
  async flush(): Promise<void> {
    while (this.#settling.size > 0) await Promise.allSettled(this.#settling);
  }

  #settle(claim: request.Claim, ending: Ending): void {
    const settling = this.#proposeEnding(claim, ending);
    this.#settling.add(settling);
    void settling.finally(() => this.#settling.delete(settling));
  }

  async #proposeEnding(claim: request.Claim, ending: Ending): Promise<void> {
    const entry: command.SettleCommand = {
      type: "settle",
      id: this.#nextId(),
      key: keyOf(claim),
      ...ending,
    };
    try {
      await this.#options.propose(entry, SETTLE_TIMEOUT);
    } catch (error) {
      // The lease of the claim runs out; its outcome is then unknown.
      if (!(error instanceof errors.ControlError)) throw error;
    }
  }

  #nextId(): string {
    const { self, incarnation } = this.#options;
    return `${self}/${incarnation}/${this.#count++}`;
  }
}

type Ending = Pick<command.SettleCommand, "token" | "outcome" | "answer">;

const results: {
  [T in claims.ClaimReply["type"]]: (
    reply: Extract<claims.ClaimReply, { type: T }>,
  ) => request.ClaimResult;
} = {
  granted: () => ({ type: "granted" }),
  held: () => ({ type: "in-progress" }),
  answered: ({ answer: { status, contentType, body } }) => {
    const type = contentType === undefined
      ? undefined
      : { "content-type": contentType };
    return { type: "answered", answer: { status, headers: { ...type }, body } };
  },
  ended: ({ outcome }) => ({
    type: "refused",
    outcome,
    detail: "The request was taken before, and its answer was not kept",
  }),
  mismatch: () => ({
    type: "refused",
    outcome: "not-run",
    detail: "The key was used for another request",
  }),
  full: () => ({
    type: "refused",
    outcome: "not-run",
    detail: "There are too many claims",
  }),
};

function keyOf({ account, key }: request.Claim): string {
  const hash = crypto.createHash("sha256").update(key).digest("hex");
  return `${account}/${hash}`;
}

function toKeep(
  answer: request.StoredAnswer | undefined,
): command.StoredAnswer | undefined {
  if (answer === undefined) return undefined;
  const { status, headers, body } = answer;
  return { status, contentType: headers["content-type"], body };
}
