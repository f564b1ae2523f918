/** State machine of the replicated log: the table, the recorded answers to
 * edits and the claims on idempotency keys. It is deterministic: the same
 * commands in the same order give the same state on all replicas.
 * @module */

import type * as command from "../../schema/command_types.ts";
import * as check from "../../schema/check.ts";
import type * as edits from "../../schema/table_types.ts";
import * as validators from "../../schema/table_validators.ts";
import * as claims from "../claims/mod.ts";
import * as operations from "./operations.ts";
import * as table from "./table.ts";

/** Immutable state. */
export interface State {
  /** Machine time: the highest time of the commands so far, in milliseconds. */
  readonly now: number;
  readonly table: table.Table;
  readonly operations: operations.Operations;
  readonly claims: claims.Claims;
  /** Cells that the last command wrote, for the publisher. */
  readonly written: readonly table.CellWrite[];
}

/** Reply to a `retire` command, which announces the start of a host. */
export interface RetireReply {
  readonly type: "retired";
  /** Revision of the table when the command was applied. */
  readonly revision: number;
  /** Lowest incarnation of the host that may be running: higher than the one
   * announced if the host's clock was set back. */
  readonly incarnation: number;
}

/** Reply to a command; `invalid` if the command is malformed or of an unknown
 * type. */
export type Reply =
  | table.Answer
  | claims.ClaimReply
  | claims.SettleReply
  | RetireReply
  | { type: "invalid"; detail: string };

/** The state after a command, and the reply to it. */
export interface Step {
  state: State;
  reply: Reply;
}

/** A state as JSON. */
export interface StateJSON {
  now: number;
  table: table.TableJSON;
  operations: operations.OperationsJSON;
  claims: claims.ClaimsJSON;
}

/** Bounds of the state; must be equal on all replicas. */
export interface Limits {
  operations: operations.Limits;
  claims: claims.Limits;
}

/** The state machine, as the replicated log uses it. */
export interface StateMachine {
  /** The state before the first command. */
  readonly empty: State;
  apply(state: State, command: command.Command): Step;
  toJSON(state: State): StateJSON;
  fromJSON(json: StateJSON): State;
}

const DEFAULT_LIMITS: Limits = {
  operations: operations.LIMITS,
  claims: claims.LIMITS,
};

/** Creates a state machine; only tests pass other `limits`. */
export function createStateMachine(
  limits: Limits = DEFAULT_LIMITS,
): StateMachine {
  return {
    empty: {
      now: 0,
      table: table.Table.create(),
      operations: operations.Operations.create(limits.operations),
      claims: claims.Claims.create(limits.claims),
      written: [],
    },
    apply,
    toJSON: ({ now, table, operations, claims }) => ({
      now,
      table: table.toJSON(),
      operations: operations.toJSON(),
      claims: claims.toJSON(),
    }),
    fromJSON: (json) => ({
      now: json.now,
      table: table.Table.fromJSON(json.table),
      operations: operations.Operations.fromJSON(
        json.operations,
        limits.operations,
        json.now,
      ),
      claims: claims.Claims.fromJSON(json.claims, limits.claims, json.now),
      written: [],
    }),
  };
}

type Handler<C> = (state: State, command: C) => Step;

const handlers: {
  [T in command.Command["type"]]: Handler<
    Extract<command.Command, { type: T }>
  >;
} = {
  edit: applyEdit,
  claim(state, command) {
    const { claims, reply } = state.claims.claim(command, state.now);
    return { state: { ...state, claims }, reply };
  },
  settle(state, command) {
    const { claims, reply } = state.claims.settle(command);
    return { state: { ...state, claims }, reply };
  },
  retire(state, { host, incarnation }) {
    const claims = state.claims.retire(host, incarnation);
    const { revision } = state.table;
    return {
      state: { ...state, claims },
      reply: {
        type: "retired",
        revision,
        incarnation: claims.lowestIncarnation(host),
      },
    };
  },
};

function apply(state: State, command: command.Command): Step {
  const handler = handlers[command.type] as
    | Handler<command.Command>
    | undefined;
  const advanced = advanceTime(state, command.at);
  if (handler !== undefined) return handler(advanced, command);
  const detail = `there is no command ${command.type}`;
  return { state: advanced, reply: { type: "invalid", detail } };
}

/** Advances the machine time to `at` and drops expired answers and claims. */
function advanceTime(state: State, at = 0): State {
  const now = Math.max(state.now, at);
  return {
    now,
    table: state.table,
    operations: state.operations.sweep(now),
    claims: state.claims.sweep(now),
    written: [],
  };
}

function applyEdit(state: State, command: command.EditCommand): Step {
  if (!validators.validate(command.edit)) {
    const { message } = new check.SchemaError(
      (validators.validate as check.Validator).errors![0],
    );
    return { state, reply: { type: "invalid", detail: message } };
  }
  const edit = command.edit as edits.Edit;
  const recorded = state.operations.find(edit);
  if (recorded !== undefined) return { state, reply: recorded };
  const { table, answer, written } = state.table.apply(edit);
  const operations = state.operations.add(edit, answer, state.now);
  return { state: { ...state, table, operations, written }, reply: answer };
}
