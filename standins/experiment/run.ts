/** Runs an experiment: sends each request when it is due, whatever became of
 * those before it, and carries out the faults.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import type * as client from "./client.ts";
import * as plan from "./plan.ts";
import * as target from "./target.ts";
import * as verify from "./verify.ts";

/** What became of one request. */
export interface Outcome {
  marker: string;
  account: string;
  kind: string;
  expected: verify.Expectation;
  /** Milliseconds from the start at which it was to be sent. */
  at: number;
  /** Milliseconds by which it was sent later than that. */
  lag: number;
  /** Milliseconds from the intended time to the final answer. */
  latency: number;
  deadline: number;
  tries: number;
  /** Without the text, which has been checked. */
  reply: verify.Reply;
  violation: verify.Violation | undefined;
}

/** How far a run has come. */
export interface Progress {
  elapsed: number;
  sent: number;
  inFlight: number;
  outcomes: readonly Outcome[];
}

/** What a run is made of. */
export interface Options {
  experiment: schema.Experiment;
  target: target.Target;
  clock: runtime.Clock;
  nonce: string;
  send(planned: plan.Planned, made: client.Try): Promise<verify.Reply>;
  /** Told once a second. */
  progress?(progress: Progress): void;
}

const PATIENCE = 3000;
const PROGRESS_EVERY = 1000;
/** Requests under way at which a run gives up, to bound its memory. */
const MOST_IN_FLIGHT = 8000;
/** Milliseconds before a caller asks again after a lost answer. */
const RESEND_AFTER = 100;

/** One run of one experiment. */
export class Run {
  readonly #options: Options;
  readonly #outcomes: Outcome[] = [];
  #start = 0;
  #inFlight = 0;
  #turn = 0;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Runs to the end; every request has its outcome then. */
  async execute(): Promise<readonly Outcome[]> {
    const { clock, experiment } = this.#options;
    this.#start = clock.now();
    const faults = (experiment.faults ?? []).map((fault) => this.#act(fault));
    const stopProgress = this.#report();
    const requests: Promise<void>[] = [];
    try {
      for (const planned of plan.plan(experiment, this.#options)) {
        await this.#until(planned.at);
        this.#bound();
        requests.push(this.#follow(planned));
      }
      await Promise.all([...requests, ...faults]);
    } finally {
      stopProgress();
    }
    return this.#outcomes;
  }

  #bound(): void {
    if (this.#inFlight < MOST_IN_FLIGHT) return;
    throw new target.ExperimentError(
      `${MOST_IN_FLIGHT} requests are under way; the load is too large to ` +
        "measure here",
    );
  }

  #elapsed(): number {
    return this.#options.clock.now() - this.#start;
  }

  #until(at: number): Promise<void> | void {
    const wait = at - this.#elapsed();
    return wait <= 0 ? undefined : this.#sleep(wait);
  }

  #sleep(wait: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(wait, resolve);
    });
  }

  async #act(fault: schema.ScheduledFault): Promise<void> {
    await this.#sleep(fault.at);
    await this.#options.target.act(fault);
  }

  async #follow(planned: plan.Planned): Promise<void> {
    const { entry, marker, at } = planned;
    const lag = this.#elapsed() - at;
    this.#inFlight++;
    const { reply, tries } = await this.#ask(planned);
    this.#inFlight--;
    const expected = {
      marker,
      idempotent: entry.idempotent !== false,
      ...(entry.maxTokens === undefined ? {} : { maxTokens: entry.maxTokens }),
    };
    this.#outcomes.push({
      marker: marker.id,
      account: entry.account,
      kind: entry.kind,
      expected,
      at,
      lag,
      latency: this.#elapsed() - at,
      deadline: entry.deadline,
      tries,
      reply: strip(reply),
      violation: verify.checkReply(expected, reply),
    });
  }

  /** Asks until there is a final answer, or no resend is left. */
  async #ask(
    planned: plan.Planned,
  ): Promise<{ reply: verify.Reply; tries: number }> {
    const { entry, at } = planned;
    const { hosts } = this.#options.target;
    const patience = this.#options.experiment.patience ?? PATIENCE;
    for (let tries = 1;; tries++) {
      const left = at + entry.deadline - this.#elapsed();
      const host = hosts[this.#turn++ % hosts.length];
      const reply = await this.#options.send(planned, {
        host,
        left,
        patience: left + patience,
      });
      const wait = resendAfter(reply);
      const remaining = at + entry.deadline - this.#elapsed();
      const more = tries <= (entry.resends ?? 0) && wait !== undefined;
      if (!more || wait >= remaining) return { reply, tries };
      await this.#sleep(wait);
    }
  }

  #report(): () => void {
    const { clock, progress } = this.#options;
    if (progress === undefined) return () => {};
    let stop: runtime.Cancel;
    const tell = () => {
      const sent = this.#outcomes.length + this.#inFlight;
      progress({
        elapsed: this.#elapsed(),
        sent,
        inFlight: this.#inFlight,
        outcomes: this.#outcomes,
      });
      stop = clock.after(PROGRESS_EVERY, tell);
    };
    stop = clock.after(PROGRESS_EVERY, tell);
    return () => stop();
  }
}

/** Milliseconds before asking again; undefined when that is no use. */
function resendAfter(reply: verify.Reply): number | undefined {
  if (reply.type === "broken") return RESEND_AFTER;
  return reply.type === "problem" ? reply.retryAfter : undefined;
}

/** Whether a request was answered whole and in time. */
export function attained({ reply, violation, latency, deadline }: Outcome) {
  const answered = reply.type === "answer" || reply.type === "plain";
  return answered && violation === undefined && latency <= deadline;
}

function strip(reply: verify.Reply): verify.Reply {
  if (reply.type === "plain") return { type: "plain", body: "" };
  if (reply.type !== "answer") return reply;
  return { type: "answer", text: "", stages: reply.stages };
}
