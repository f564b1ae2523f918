/** What a state machine brings to the log: a plain object of functions.
 * @module */

import type * as schema from "../../schema/log_types.ts";

/** A command that the log carries without looking into it. */
export type Command = schema.Command;

/** What a command leads to: the next state, and what the proposer is told. */
export interface Outcome<State, Reply> {
  state: State;
  reply: Reply;
}

/** A deterministic state machine over an immutable state. */
export interface StateMachine<State, Reply> {
  /** State before the first command. */
  readonly empty: State;
  /** Applies a committed command; depends on its arguments alone. */
  apply(state: State, command: Command, index: number): Outcome<State, Reply>;
  /** JSON value of the state for a snapshot. */
  toJSON(state: State): unknown;
  /** State from what `toJSON` gave. */
  fromJSON(json: unknown): State;
}

/** State from the data of a snapshot, or the empty one without. */
export function restore<State>(
  machine: StateMachine<State, unknown>,
  data: string | undefined,
): State {
  return data === undefined
    ? machine.empty
    : machine.fromJSON(JSON.parse(data));
}
