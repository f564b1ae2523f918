/** The machine that committed commands drive: table, remembered answers and
 * claims. Equal commands in equal order give equal states on all replicas.
 * @module */

import type * as command from "../../schema/command_types.ts";
import * as check from "../../schema/check.ts";
import type * as edits from "../../schema/table_types.ts";
import * as validators from "../../schema/table_validators.ts";
import * as claims from "../claims/mod.ts";
import * as operations from "./operations.ts";
import * as table from "./table.ts";

/** State of the machine; immutable. */
export interface State {
  /** Milliseconds by the commands' own times; never goes back. */
  readonly now: number;
  readonly table: table.Table;
  readonly operations: operations.Operations;
  readonly claims: claims.Claims;
  /** What the last command wrote into the table, for watchers. */
  readonly written: readonly table.CellWrite[];
}

/** Answer to the announcement of a start. */
export interface RetireReply {
  readonly type: "retired";
  /** Revision of the table then. */
  readonly revision: number;
  /** Lowest incarnation of the host that counts: higher than announced after
   * its clock was set back. */
  readonly incarnation: number;
}

/** Answer to a command; `invalid` when it has no meaning to the machine. */
export type Reply =
  | table.Answer
  | claims.ClaimReply
  | claims.SettleReply
  | RetireReply
  | { type: "invalid"; detail: string };

/** A state after a command, and the answer to it. */
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

/** Bounds of the machine; equal on all replicas. */
export interface Limits {
  operations: operations.Limits;
  claims: claims.Limits;
}

/** The machine as the replicated log takes it. */
export interface StateMachine {
  /** State before the first command. */
  readonly empty: State;
  apply(state: State, command: command.Command): Step;
  toJSON(state: State): StateJSON;
  fromJSON(json: StateJSON): State;
}

const LIMITS: Limits = { operations: operations.LIMITS, claims: claims.LIMITS };

/** A machine with `limits`, which only tests change. */
export function createStateMachine(limits: Limits = LIMITS): StateMachine {
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
  const moved = advance(state, command.at);
  if (handler !== undefined) return handler(moved, command);
  const detail = `there is no command ${command.type}`;
  return { state: moved, reply: { type: "invalid", detail } };
}

/** Moves the machine's time on and forgets what has expired. */
function advance(state: State, at = 0): State {
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
  const known = state.operations.find(edit);
  if (known !== undefined) return { state, reply: known };
  const { table, answer, written } = state.table.apply(edit);
  const operations = state.operations.add(edit, answer, state.now);
  return { state: { ...state, table, operations, written }, reply: answer };
}
