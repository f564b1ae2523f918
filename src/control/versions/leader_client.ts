/** RPC client of the log's leader, which retries until the leader, on whichever
 * host that is, replies.
 * @module */

import * as delays from "../../runtime/delay.ts";
import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import * as errors from "./errors.ts";

/** Delay between attempts while there is no leader: an election takes some
 * hundred milliseconds. */
const RETRY_DELAY_MS = 60;
/** Timeout of one attempt. */
const ATTEMPT_TIMEOUT_MS = 1000;

/** Sends an RPC request to another host. */
export type HostCall = (
  to: string,
  question: schema.Question,
  options: { timeout: number },
) => Promise<schema.Reply>;

/** Dependencies of the client. */
export interface LeaderClientOptions {
  readonly self: string;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly callHost: HostCall;
  /** The leader, as far as this host knows. */
  leader(): string | undefined;
  /** A host has replied that it is not the leader. */
  onNotLeader(leader: string): void;
}

/** A request, and its handler for when this host is the leader itself. */
export interface LeaderCall {
  readonly question: schema.Question;
  handleLocally(): Promise<schema.Reply>;
}

/** Client of the leader; mutable. */
export class LeaderClient {
  readonly #options: LeaderClientOptions;
  /** Attempts that wait for a reply. */
  #attempts: { leader: string; end(): void }[] = [];
  #isStopped = false;

  private constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  static create(options: LeaderClientOptions): LeaderClient {
    return new LeaderClient(options);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Cancels attempts that wait for a former leader. The leader hint may name a
   * lost leader for longer than an election takes, as long as other hosts still
   * report it. */
  handleLeaderChange(): void {
    const leader = this.#options.leader();
    if (leader === undefined) return;
    const obsolete = this.#attempts.filter((each) => each.leader !== leader);
    this.#attempts = this.#attempts.filter((each) => each.leader === leader);
    obsolete.forEach(({ end }) => end());
  }

  /** Calls the leader, which may be this host, until it replies. Rejects with
   * `StoreError` after `timeout` milliseconds. */
  async call(
    timeout: number,
    request: LeaderCall,
  ): Promise<schema.Reply> {
    const { clock } = this.#options;
    const deadline = clock.now() + timeout;
    let mayHaveTakenEffect = false;
    for (;;) {
      const remaining = deadline - clock.now();
      if (this.#isStopped) throw new errors.StoreError("stopped");
      if (remaining <= 0) throw timeoutError(mayHaveTakenEffect);
      const leader = this.#options.leader();
      const reply = await this.#attempt(request, remaining);
      if (reply?.type !== "failed" && reply !== undefined) return reply;
      // Requests are idempotent: one that has taken effect may be sent again.
      mayHaveTakenEffect ||= reply === undefined || reply.reason === "unknown";
      const newLeader = this.#options.leader();
      if (newLeader !== undefined && newLeader !== leader) continue;
      const left = Math.max(0, deadline - clock.now());
      await delays.sleep(clock, Math.min(RETRY_DELAY_MS, left));
    }
  }

  /** One attempt; undefined when the leader did not reply. */
  async #attempt(
    { question, handleLocally }: LeaderCall,
    remaining: number,
  ): Promise<schema.Reply | undefined> {
    const { self, callHost, logger, onNotLeader } = this.#options;
    const leader = this.#options.leader();
    if (leader === undefined) return { type: "failed", reason: "not-leader" };
    if (leader === self) return this.#limitTime(handleLocally(), remaining);
    const { leaderChanged, stopWaiting } = this.#leaderOtherThan(leader);
    try {
      const timeout = Math.min(remaining, ATTEMPT_TIMEOUT_MS);
      const response = callHost(leader, question, { timeout });
      const reply = await Promise.race([response, leaderChanged]);
      const isNotLeader = reply?.type === "failed" &&
        reply.reason === "not-leader";
      if (isNotLeader) onNotLeader(leader);
      return reply ?? undefined;
    } catch (error) {
      const { type } = question;
      logger.debug({ err: error, leader, type }, "Leader did not reply");
      return undefined;
    } finally {
      stopWaiting();
    }
  }

  /** Resolves with the reply of this host, or with undefined after `timeout`
   * milliseconds: a leader without a majority may wait for longer. */
  async #limitTime(
    reply: Promise<schema.Reply>,
    timeout: number,
  ): Promise<schema.Reply | undefined> {
    let cancel: runtime.Cancel = () => {};
    const timedOut = new Promise<undefined>((resolve) =>
      cancel = this.#options.clock.after(timeout, () => resolve(undefined))
    );
    try {
      return await Promise.race([reply, timedOut]);
    } finally {
      cancel();
    }
  }

  /** Returns a promise that resolves when a host other than `leader` becomes
   * the leader, and a function that stops waiting for it. */
  #leaderOtherThan(
    leader: string,
  ): { leaderChanged: Promise<void>; stopWaiting(): void } {
    let end = () => {};
    const leaderChanged = new Promise<void>((resolve) => end = resolve);
    const attempt = { leader, end };
    this.#attempts.push(attempt);
    const stopWaiting = () => {
      this.#attempts = this.#attempts.filter((each) => each !== attempt);
    };
    return { leaderChanged, stopWaiting };
  }
}

function timeoutError(mayHaveTakenEffect: boolean): errors.StoreError {
  return new errors.StoreError(mayHaveTakenEffect ? "unknown" : "no-leader");
}
