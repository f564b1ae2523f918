/** Questions to the leader of the log, whichever host that is: tried again until
 * it answers.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/fleet_types.ts";
import type * as telemetry from "../../telemetry/mod.ts";
import * as errors from "./errors.ts";

/** Milliseconds between tries while no leader answers: an election takes some
 * hundreds. */
const RETRY = 60;
/** Milliseconds in which a leader answers a question of another host. */
const ANSWER = 1000;

/** Asks another host. */
export type HostCall = (
  to: string,
  question: schema.Question,
  options: { timeout: number },
) => Promise<schema.Reply>;

/** What calls need of their host. */
export interface LeaderClientOptions {
  readonly self: string;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly callHost: HostCall;
  /** Host that leads, as far as this one knows. */
  leader(): string | undefined;
  /** A host says that it does not lead. */
  onNotLeader(leader: string): void;
}

/** A question, and how this host answers it where it leads itself. */
export interface LeaderCall {
  readonly question: schema.Question;
  handleLocally(): Promise<schema.Reply>;
}

/** Calls of one host to leaders; changed in place. */
export class LeaderClient {
  readonly #options: LeaderClientOptions;
  /** Questions to leaders that are not answered yet. */
  #tries: { leader: string; end(): void }[] = [];
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

  /** Ends tries that wait for a host which leads no more: while others still tell
   * of it, it may be believed for longer than an election takes. */
  handleLeaderChange(): void {
    const leader = this.#options.leader();
    if (leader === undefined) return;
    const over = this.#tries.filter((each) => each.leader !== leader);
    this.#tries = this.#tries.filter((each) => each.leader === leader);
    over.forEach(({ end }) => end());
  }

  /** Asks the leader, here or elsewhere, until it answers. Rejects with
   * `VersionError` after `patience` milliseconds. */
  async call(
    patience: number,
    asked: LeaderCall,
  ): Promise<schema.Reply> {
    const { clock } = this.#options;
    const until = clock.now() + patience;
    let isOpen = false;
    for (;;) {
      const left = until - clock.now();
      if (this.#isStopped) throw new errors.StoreError("stopped");
      if (left <= 0) throw givenUp(isOpen);
      const leader = this.#options.leader();
      const reply = await this.#once(asked, left);
      if (reply?.type !== "failed" && reply !== undefined) return reply;
      // Questions are idempotent: one that has taken effect may be sent again.
      isOpen ||= reply === undefined || reply.reason === "unknown";
      const now = this.#options.leader();
      if (now !== undefined && now !== leader) continue;
      await new Promise<void>((resolve) =>
        void clock.after(RETRY, () => resolve())
      );
    }
  }

  /** One try; undefined when the leader did not answer. */
  async #once(
    { question, handleLocally: here }: LeaderCall,
    left: number,
  ): Promise<schema.Reply | undefined> {
    const { self, callHost: ask, logger, onNotLeader: refute } = this.#options;
    const leader = this.#options.leader();
    if (leader === undefined) return { type: "failed", reason: "not-leader" };
    if (leader === self) return here();
    const { ended, forget } = this.#leaderOtherThan(leader);
    try {
      const timeout = Math.min(left, ANSWER);
      const asked = ask(leader, question, { timeout });
      const reply = await Promise.race([asked, ended]);
      const isRefuted = reply?.type === "failed" &&
        reply.reason === "not-leader";
      if (isRefuted) refute(leader);
      return reply ?? undefined;
    } catch (error) {
      const { type } = question;
      logger.debug({ err: error, leader, type }, "Leader did not answer");
      return undefined;
    } finally {
      forget();
    }
  }

  /** Resolves once another host than `leader` leads; `forget` when that is no
   * longer waited for. */
  #leaderOtherThan(leader: string): { ended: Promise<void>; forget(): void } {
    let end = () => {};
    const ended = new Promise<void>((resolve) => end = resolve);
    const attempt = { leader, end };
    this.#tries.push(attempt);
    const forget = () => {
      this.#tries = this.#tries.filter((each) => each !== attempt);
    };
    return { ended, forget };
  }
}

function givenUp(isOpen: boolean): errors.StoreError {
  return new errors.StoreError(isOpen ? "unknown" : "no-leader");
}
