/** What a runner is given, and what it counts.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as errors from "./errors.ts";
import type * as machines from "./state_machine.ts";
import type * as states from "./state.ts";

/** What a runner is started with. */
export interface RunnerOptions<State, Reply> {
  readonly host: string;
  /** Hosts that the settings name as voters. */
  readonly hosts: readonly string[];
  readonly machine: machines.StateMachine<State, Reply>;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly transport: runtime.Transport;
  readonly storage: runtime.Storage;
  /** Whether it may found a log on an empty disk; it may when absent. */
  readonly isBootstrap?: boolean;
  readonly timing?: Partial<states.Timing>;
  readonly sizes?: Partial<states.Sizes>;
  /** Incarnation of a new folder, in hex digits; random when absent. */
  readonly incarnation?: string;
  /** Called after the state machine's state has changed. */
  onChange?(state: State, index: number): void;
  /** Called when the role, the term or the known leader has changed. */
  onRole?(role: states.Role, term: number, options: { leader?: string }): void;
  /** Called once when the journal fails; the runner has stopped. */
  onFailure?(failure: errors.LogError): void;
}

/** What a runner has done since its start. */
export interface Counters {
  writes: number;
  proposals: number;
  commits: number;
  sent: number;
  received: number;
  malformed: number;
  pauses: number;
}
