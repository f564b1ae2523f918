/** Options and counters of a runner.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as errors from "./errors.ts";
import type * as stateMachines from "./state_machine.ts";
import type * as states from "./state.ts";

/** Options of a runner. */
export interface RunnerOptions<State, Reply> {
  readonly host: string;
  /** Hosts that the settings configure as voters. */
  readonly hosts: readonly string[];
  readonly machine: stateMachines.StateMachine<State, Reply>;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly transport: runtime.Transport;
  readonly storage: runtime.Storage;
  /** Whether it may bootstrap a new log on an empty disk; defaults to true. */
  readonly isBootstrap?: boolean;
  readonly timing?: Partial<states.Timing>;
  readonly sizes?: Partial<states.Sizes>;
  /** Incarnation of a new data folder, in hex digits; defaults to a random
   * one. */
  readonly incarnation?: string;
  /** Called after the state of the state machine has changed. */
  onChange?(state: State, index: number): void;
  /** Called when the role, the term or the known leader has changed. */
  onRole?(role: states.Role, term: number, options: { leader?: string }): void;
  /** Called after a vote request was answered or ignored. */
  onVoteDecision?(decision: states.VoteDecision): void;
  /** Called when a voter's election timeout has passed. */
  onElectionTimeout?(timeout: states.ElectionTimeout): void;
  /** Called after a write that took longer than a heartbeat interval. */
  onSlowWrite?(durationMs: number): void;
  /** Called once after the runner has stopped because of a failed write or an
   * inconsistency. */
  onFailure?(failure: errors.LogError): void;
}

/** Counters since the runner's start. */
export interface Counters {
  writes: number;
  proposals: number;
  commits: number;
  sent: number;
  received: number;
  malformed: number;
  pauses: number;
}
