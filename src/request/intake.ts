/** Lets checked requests in: gives them ids and deadlines, claims their keys,
 * and hands them to the execution.
 * @module */

import * as crypto from "node:crypto";
import type * as accounting from "./accounting.ts";
import type * as catalogue from "./catalogue.ts";
import type * as effect from "./effect.ts";
import type * as event from "./event.ts";
import type * as execution from "./executor.ts";
import * as keptReply from "./recorded_reply.ts";
import * as stageData from "./stage_data.ts";
import type * as pathOptions from "./path_options.ts";
import type * as reply from "./reply.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";

/** A checked request of a known account. */
export interface IncomingRequest {
  account: string;
  kind: string;
  target: catalogue.Target;
  payload: stageData.Payload;
  /** When its head came, on the host's clock. */
  arrived: number;
  /** Milliseconds left at that time, when the caller says so. */
  remaining: number | undefined;
  idempotent: boolean;
  key: string | undefined;
  streaming: boolean;
  reply: ReplayableReply;
}

/** Also takes the answer that an earlier request with the same key got. */
export interface ReplayableReply extends reply.Reply {
  /** Whether the caller went away. */
  readonly isDisconnected: boolean;
  replay(answer: pathOptions.StoredAnswer): void;
}

/** Parts of an intake. */
export interface Options {
  host: string;
  clock: runtime.Clock;
  random: runtime.Random;
  accounting: accounting.Accounting;
  execution: execution.Executor;
  claims: pathOptions.Claims | undefined;
}

const BASE = 36;
const ID_RANGE = 2 ** 32;

/** Where requests enter. */
export class Intake {
  readonly #options: Options;
  readonly #prefix: string;
  #count = 0;
  #policies: event.Policies = new Map();

  private constructor(options: Options) {
    this.#options = options;
    const { host, clock, random } = options;
    const start = Math.floor(clock.wall()).toString(BASE);
    // Host, start and a random number: no id returns after a restart.
    this.#prefix = `${host}-${start}-${random.below(ID_RANGE).toString(BASE)}`;
  }

  static create(options: Options): Intake {
    return new Intake(options);
  }

  setPolicies(policies: event.Policies): void {
    this.#policies = policies;
  }

  /** A new id. */
  nextId(): string {
    return `${this.#prefix}-${(this.#count++).toString(BASE)}`;
  }

  /** Milliseconds that a request may take: the least of what the caller, its
   * target and the table's cells for its account and kind say. */
  timeBudget({ account, kind, target, remaining }: Pick<
    IncomingRequest,
    "account" | "kind" | "target" | "remaining"
  >): number {
    const rows = [`account/${account}`, `kind/${kind}`];
    const cells = rows.map((row) =>
      this.#policies.get(row)?.deadline ?? Infinity
    );
    return Math.min(remaining ?? Infinity, target.deadline, ...cells);
  }

  /** Lets a request in, or refuses it. */
  submit(id: string, ask: IncomingRequest): void {
    const made = this.#request(id, ask);
    const job = {
      request: made,
      target: ask.target,
      data: stageData.StageData.create(ask.payload),
      reply: ask.reply,
    };
    const { execution, claims } = this.#options;
    // What may be repeated needs no claim unless the keys are kept.
    if (ask.key === undefined || (claims === undefined && made.idempotent)) {
      execution.submit(job);
    } else if (claims === undefined) {
      this.#deny(job, refusal("claim-refused", NO_CLAIMS));
    } else {
      this.#claim(claims, job, ask.reply);
    }
  }

  /** Refuses what never reached the dispatcher. */
  #deny(
    { request, reply }: Pick<execution.Job, "request" | "reply">,
    problem: effect.Problem,
  ): void {
    this.#options.accounting.refused(request, problem);
    reply.refuse(problem);
  }

  #request(id: string, ask: IncomingRequest): request.Request {
    const { account, kind, target, payload, arrived, key, streaming } = ask;
    const first = stageData.StageData.create(payload).measure(target.steps[0]);
    return {
      id,
      account,
      kind,
      target: target.name,
      stages: target.steps,
      size: first.size,
      arrived,
      deadline: arrived + this.timeBudget(ask),
      idempotent: ask.idempotent && target.idempotent,
      key,
      streaming,
      prefix: first.prefix,
    };
  }

  #claim(
    claims: pathOptions.Claims,
    job: execution.Job,
    answer: ReplayableReply,
  ): void {
    const { clock, execution } = this.#options;
    const claim: pathOptions.Claim = {
      account: job.request.account,
      key: job.request.key!,
      fingerprint: fingerprintOf(job),
      request: job.request.id,
      remaining: job.request.deadline - clock.now(),
    };
    let late = false;
    const cancel = clock.after(claim.remaining, () => {
      late = true;
      this.#deny(job, {
        ...refusal("claim-refused", LATE_CLAIM),
        outcome: "unknown",
      });
    });
    const handlers: ClaimHandlers = {
      granted: () => {
        // Nobody waits any more: the claim goes back, and nothing runs.
        if (late || answer.isDisconnected) {
          return claims.settle(claim, undefined);
        }
        const kept = keptReply.RecordedReply.create(job.reply, {
          id: claim.request,
          settle: (stored) => claims.settle(claim, stored),
        });
        execution.submit({ ...job, reply: kept });
      },
      answered: (found) => answer.replay(found.answer),
      // The key's first request may run: this one alone did not.
      "in-progress": () =>
        this.#deny(job, {
          ...refusal("in-progress", RUNNING),
          outcome: "unknown",
        }),
      refused: ({ detail, outcome }) =>
        this.#deny(job, { ...refusal("claim-refused", detail), outcome }),
    };
    claims.claim(claim).catch(failedClaim).then((result) => {
      cancel();
      if (late && result.type !== "granted") return;
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

function failedClaim(): pathOptions.ClaimResult {
  const detail = "The key can't be claimed now";
  // An earlier try under this key may have run through another host.
  return { type: "refused", detail, outcome: "unknown" };
}

const RUNNING = "The first request with this key still runs";
const LATE_CLAIM = "The key could not be claimed within the deadline";
const NO_CLAIMS = "This host keeps no keys";
const RETRY_AFTER = 1000;

function refusal(name: effect.ProblemName, detail: string): effect.Problem {
  return { name, outcome: "not-run", detail, retryAfter: RETRY_AFTER };
}

function fingerprintOf({ request, data }: execution.Job): string {
  const hash = crypto.createHash("sha256").update(request.target);
  const { payload } = data;
  if (payload.type === "pipeline") hash.update(JSON.stringify(payload.call));
  else {
    const { method, path, body } = payload.call;
    hash.update(`\n${method} ${path}\n`).update(body);
  }
  return hash.digest("hex");
}
