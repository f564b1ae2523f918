/** States and commands of the replicated machine, for measurements.
 * @module */

import type * as command from "../src/schema/command_types.ts";
import type * as edits from "../src/schema/table_types.ts";
import * as table from "../src/control/table/mod.ts";

const COLUMNS: edits.Column[] = [
  "weight",
  "rate",
  "concurrency",
  "deadline",
  "priority",
  "spend",
];

/** A machine's state with a table of `accounts` rows of six cells. */
export function fill(accounts: number): table.State {
  const machine = table.createStateMachine();
  let state = machine.empty;
  for (let pos = 0; pos < accounts; pos++) {
    const changes = COLUMNS.map((column) => ({
      row: `account/a${pos}`,
      column,
      version: 0,
      value: column === "spend" ? 0.5 : 1 + pos % 9,
    }));
    const edit = { operation: `fill-${pos}`, actor: "an", changes };
    state = machine.apply(state, { type: "edit", id: "x", at: 0, edit }).state;
  }
  return state;
}

/** A claim on the key of booking `pos`. */
export function createClaim(pos: number): command.ClaimCommand {
  return {
    type: "claim",
    id: `kivu-1-1764697457-${pos}`,
    at: pos,
    key: `billing/${String(pos).padStart(43, "k")}`,
    fingerprint: String(pos).padStart(43, "f"),
    host: "kivu-1",
    incarnation: 1764697457,
    lease: 10_000,
  };
}

/** The end of that claim, with an answer of 200 characters. */
export function createSettle(pos: number): command.SettleCommand {
  const { id: token, key } = createClaim(pos);
  const body = String(pos).padStart(200, "b");
  const answer = { status: 200, contentType: "application/json", body };
  const id = `${token}-s`;
  return { type: "settle", id, at: pos, key, token, outcome: "ran", answer };
}
