/** Accepts validated requests: assigns ids and deadlines, claims idempotency
 * keys, and submits the requests to the executor.
 * @module */

import * as crypto from "node:crypto";
import type * as accounting from "./accounting.ts";
import type * as catalogue from "./catalogue.ts";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import type * as executor from "./executor.ts";
import * as recordedReply from "./recorded_reply.ts";
import * as stageData from "./stage_data.ts";
import type * as pathOptions from "./path_options.ts";
import type * as reply from "./reply.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";

/** A validated request of an authenticated account. */
export interface IncomingRequest {
  account: string;
  kind: string;
  target: catalogue.Target;
  payload: stageData.Payload;
  /** When its head was received, on the host's clock. */
  arrived: number;
  /** Milliseconds left at that time, when the caller sets a deadline. */
  remaining: number | undefined;
  idempotent: boolean;
  key: string | undefined;
  streaming: boolean;
  reply: ReplayableReply;
}

/** Reply that can also send the stored answer of an earlier request with the
 * same key. */
export interface ReplayableReply extends reply.Reply {
  /** Whether the caller has disconnected. */
  readonly isDisconnected: boolean;
  replay(answer: pathOptions.StoredAnswer): void;
}

/** Dependencies of an intake. */
export interface Options {
  host: string;
  clock: runtime.Clock;
  random: runtime.Random;
  accounting: accounting.Accounting;
  executor: executor.Executor;
  claims: pathOptions.Claims | undefined;
}

const ID_RADIX = 36;
const ID_RANDOM_RANGE = 2 ** 32;

/** Entry of requests into a host. */
export class Intake {
  readonly #options: Options;
  readonly #idPrefix: string;
  #idCount = 0;
  #policies: event.Policies = new Map();

  private constructor(options: Options) {
    this.#options = options;
    const { host, clock, random } = options;
    const start = Math.floor(clock.wall()).toString(ID_RADIX);
    // Host, start time and a random number: ids are not reused after a restart.
    this.#idPrefix = `${host}-${start}-${
      random.below(ID_RANDOM_RANGE).toString(ID_RADIX)
    }`;
  }

  static create(options: Options): Intake {
    return new Intake(options);
  }

  setPolicies(policies: event.Policies): void {
    this.#policies = policies;
  }

  /** Returns a new request id. */
  nextId(): string {
    return `${this.#idPrefix}-${(this.#idCount++).toString(ID_RADIX)}`;
  }

  /** Milliseconds that a request may take: the minimum of the caller's deadline,
   * the target's, and those that the policies set for its account and kind. */
  timeBudget({ account, kind, target, remaining }: Pick<
    IncomingRequest,
    "account" | "kind" | "target" | "remaining"
  >): number {
    const rows = [`account/${account}`, `kind/${kind}`];
    const limits = rows.map((row) =>
      this.#policies.get(row)?.deadline ?? Infinity
    );
    return Math.min(remaining ?? Infinity, target.deadline, ...limits);
  }

  /** Submits a request to the executor, or refuses it. */
  submit(id: string, incoming: IncomingRequest): void {
    const created = this.#request(id, incoming);
    const job = {
      request: created,
      target: incoming.target,
      data: stageData.StageData.create(incoming.payload),
      reply: incoming.reply,
    };
    const { executor: execution, claims } = this.#options;
    // No claim is needed without a key, nor for an idempotent request on a host
    // without a claim store.
    if (
      incoming.key === undefined || (claims === undefined && created.idempotent)
    ) {
      execution.submit(job);
    } else if (claims === undefined) {
      this.#refuse(job, refusal("claim-refused", NO_CLAIMS_DETAIL));
    } else {
      this.#claim(claims, job, incoming.reply);
    }
  }

  /** Refuses a request that has not reached the dispatcher. */
  #refuse(
    { request, reply }: Pick<executor.Job, "request" | "reply">,
    problem: effect.Problem,
  ): void {
    this.#options.accounting.refused(request, problem);
    reply.refuse(problem);
  }

  #request(id: string, incoming: IncomingRequest): request.Request {
    const { account, kind, target, payload, arrived, key, streaming } =
      incoming;
    const measure = stageData.StageData.create(payload).measure(
      target.steps[0],
    );
    return {
      id,
      account,
      kind,
      target: target.name,
      stages: target.steps,
      size: measure.size,
      arrived,
      deadline: arrived + this.timeBudget(incoming),
      idempotent: incoming.idempotent && target.idempotent,
      key,
      streaming,
      prefix: measure.prefix,
    };
  }

  #claim(
    claims: pathOptions.Claims,
    job: executor.Job,
    answer: ReplayableReply,
  ): void {
    const { clock, executor: execution } = this.#options;
    const claim: pathOptions.Claim = {
      account: job.request.account,
      key: job.request.key!,
      fingerprint: fingerprintOf(job),
      request: job.request.id,
      remaining: job.request.deadline - clock.now(),
    };
    let timedOut = false;
    const cancel = clock.after(claim.remaining, () => {
      timedOut = true;
      this.#refuse(job, {
        ...refusal("claim-refused", CLAIM_TIMEOUT_DETAIL),
        outcome: "unknown",
      });
    });
    const handlers: ClaimHandlers = {
      granted: () => {
        // The caller is no longer waiting: release the claim and run nothing.
        if (timedOut || answer.isDisconnected) {
          return claims.settle(claim, undefined);
        }
        const recorded = recordedReply.RecordedReply.create(job.reply, {
          id: claim.request,
          settle: (stored) => claims.settle(claim, stored),
        });
        execution.submit({ ...job, reply: recorded });
      },
      answered: (found) => answer.replay(found.answer),
      // This request did not run, but the first one with this key may have.
      "in-progress": () =>
        this.#refuse(job, {
          ...refusal("in-progress", IN_PROGRESS_DETAIL),
          outcome: "unknown",
        }),
      refused: ({ detail, outcome }) =>
        this.#refuse(job, { ...refusal("claim-refused", detail), outcome }),
    };
    claims.claim(claim).catch(claimFailure).then((result) => {
      cancel();
      if (timedOut && result.type !== "granted") return;
      const handle = handlers[result.type] as (
        result: pathOptions.ClaimResult,
      ) => void;
      handle(result);
    });
  }
}

type ClaimHandlers = {
  [T in pathOptions.ClaimResult["type"]]: (
    result: pathOptions.ClaimResult & { type: T },
  ) => void;
};

function claimFailure(): pathOptions.ClaimResult {
  const detail = "The key can't be claimed now";
  // An earlier request with this key may have run through another host.
  return { type: "refused", detail, outcome: "unknown" };
}

const IN_PROGRESS_DETAIL = "The first request with this key still runs";
const CLAIM_TIMEOUT_DETAIL = "The key could not be claimed within the deadline";
const NO_CLAIMS_DETAIL = "This host keeps no keys";
const RETRY_AFTER_MS = 1000;

function refusal(name: effect.ProblemName, detail: string): effect.Problem {
  return { name, outcome: "not-run", detail, retryAfter: RETRY_AFTER_MS };
}

function fingerprintOf({ request, data }: executor.Job): string {
  const hash = crypto.createHash("sha256").update(request.target);
  const { payload } = data;
  if (payload.type === "pipeline") hash.update(JSON.stringify(payload.call));
  else {
    const { method, path, body } = payload.call;
    hash.update(`\n${method} ${path}\n`).update(body);
  }
  return hash.digest("hex");
}
