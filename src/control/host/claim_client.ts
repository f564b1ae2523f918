/** Claims idempotency keys in the replicated log on behalf of the requests of
 * this host, and settles the claims when the requests end.
 * @module */

import * as crypto from "node:crypto";
import type * as command from "../../schema/command_types.ts";
import type * as request from "../../request/mod.ts";
import type * as claims from "../claims/mod.ts";
import type * as table from "../table/mod.ts";
import * as errors from "./errors.ts";

/** Upper bound on the part of a request's deadline that a claim may use. */
const CLAIM_TIMEOUT_MS = 2_000;

/** How long a settlement is retried. */
const SETTLE_TIMEOUT_MS = 30_000;

/** Time by which the lease of a claim outlives the deadline of its request. */
const LEASE_MARGIN_MS = 2_000;

/** Maximum lease that schema/command.yaml allows. */
const MAX_LEASE_MS = 600_000;

/** Commits a command within `timeout` milliseconds, or rejects with
 * `ControlError`. */
export type Propose = (
  command: command.Command,
  timeout: number,
) => Promise<table.Reply>;

/** Options of a `ClaimClient`. */
export interface ClaimClientOptions {
  self: string;
  /** Distinguishes the runs of this host. */
  incarnation: number;
  /** Announces this run within `timeout` milliseconds, or rejects with
   * `ControlError`; returns the incarnation to use in its claims. */
  announce(timeout: number): Promise<number>;
  propose: Propose;
}

/** Makes and settles claims on idempotency keys. */
export class ClaimClient implements request.Claims {
  readonly #options: ClaimClientOptions;
  /** Tokens of the claims granted to this host, by request id. */
  readonly #tokens = new Map<string, string>();
  readonly #pendingSettlements = new Set<Promise<void>>();
  /** Set once this run has been announced. */
  #incarnation: number | undefined;
  #count = 0;

  private constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /** Creates a client without claims. */
  static create(options: ClaimClientOptions): ClaimClient {
    return new ClaimClient(options);
  }

  /** Number of claims granted to this host that are not settled yet. */
  get size(): number {
    return this.#tokens.size;
  }

  /** Claims the key of a request, which needs a quorum. */
  async claim(claim: request.Claim): Promise<request.ClaimResult> {
    const { self: host, announce, propose } = this.#options;
    const total = Math.min(CLAIM_TIMEOUT_MS, claim.remaining);
    const timeout = this.#incarnation === undefined ? total / 2 : total;
    const id = this.#nextId();
    const lease = Math.ceil(claim.remaining) + LEASE_MARGIN_MS;
    try {
      const claimCommand: command.ClaimCommand = {
        type: "claim",
        id,
        key: keyOf(claim),
        fingerprint: claim.fingerprint,
        host,
        incarnation: this.#incarnation ??= await announce(timeout),
        lease: Math.min(lease, MAX_LEASE_MS),
      };
      const reply = await propose(claimCommand, timeout) as claims.ClaimReply;
      if (reply.type === "granted") this.#tokens.set(claim.request, id);
      return resultFor[reply.type](reply as never);
    } catch (error) {
      if (!(error instanceof errors.ControlError)) throw error;
      // The request is not dispatched even if the claim is granted later, so
      // the key is released.
      this.#startSettlement(claim, { token: id, outcome: "not-run" });
      const detail = `The key cannot be claimed: ${error.message}`;
      // An earlier request with this key may have run through another host.
      return { type: "refused", detail, outcome: "unknown" };
    }
  }

  /** Stores how the request ended under the key; an undefined settlement
   * releases the claim as not run. */
  settle(
    claim: request.Claim,
    settlement: request.Settlement | undefined,
  ): void {
    const token = this.#tokens.get(claim.request);
    if (token === undefined) return;
    this.#tokens.delete(claim.request);
    const outcome = settlement === undefined ? "not-run" : "ran";
    this.#startSettlement(claim, {
      token,
      outcome,
      answer: toStoredAnswer(settlement),
    });
  }

  /** Resolves once no settlement is pending. */
  async flush(): Promise<void> {
    while (this.#pendingSettlements.size > 0) {
      await Promise.allSettled(this.#pendingSettlements);
    }
  }

  #startSettlement(claim: request.Claim, settlement: Settlement): void {
    const pending = this.#proposeSettlement(claim, settlement);
    this.#pendingSettlements.add(pending);
    void pending.finally(() => this.#pendingSettlements.delete(pending));
  }

  async #proposeSettlement(
    claim: request.Claim,
    settlement: Settlement,
  ): Promise<void> {
    const settleCommand: command.SettleCommand = {
      type: "settle",
      id: this.#nextId(),
      key: keyOf(claim),
      ...settlement,
    };
    try {
      await this.#options.propose(settleCommand, SETTLE_TIMEOUT_MS);
    } catch (error) {
      // The lease of the claim expires, and its outcome becomes unknown.
      if (!(error instanceof errors.ControlError)) throw error;
    }
  }

  #nextId(): string {
    const { self, incarnation } = this.#options;
    return `${self}/${incarnation}/${this.#count++}`;
  }
}

type Settlement = Pick<command.SettleCommand, "token" | "outcome" | "answer">;

const resultFor: {
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

function toStoredAnswer(
  settlement: request.Settlement | undefined,
): command.StoredAnswer | undefined {
  if (settlement === undefined || settlement === "not-kept") return undefined;
  const { status, headers, body } = settlement;
  return { status, contentType: headers["content-type"], body };
}
