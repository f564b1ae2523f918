/** Interface of the replicated state machine.
 * @module */

import type * as schema from "../../schema/log_types.ts";

/** A command, opaque to the log. */
export type Command = schema.Command;

/** Result of a command: the next state, and the reply to the proposer. */
export interface Outcome<State, Reply> {
  state: State;
  reply: Reply;
}

/** A deterministic state machine over an immutable state. */
export interface StateMachine<State, Reply> {
  /** State before the first command. */
  readonly empty: State;
  /** Applies a committed command. The result must depend only on the
   * arguments. */
  apply(state: State, command: Command, index: number): Outcome<State, Reply>;
  /** Returns the state as a JSON value for a snapshot. */
  toJSON(state: State): unknown;
  /** Restores a state from the result of `toJSON`. */
  fromJSON(json: unknown): State;
}

/** Restores a state from snapshot data; the initial state without data. */
export function restore<State>(
  machine: StateMachine<State, unknown>,
  data: string | undefined,
): State {
  return data === undefined
    ? machine.empty
    : machine.fromJSON(JSON.parse(data));
}
