/** @module */

import test from "ava";
import * as versions from "./mod.ts";

type Order = [version: number, document: string];

/** Verdicts on orders, one after the other, and what is in force then. */
function play(orders: readonly Order[]) {
  let state = versions.machine.empty;
  const verdicts = orders.map(([version, document], pos) => {
    const command = versions.command(`${pos}`, { version, document });
    const outcome = versions.machine.apply(state, command, pos + 1);
    state = outcome.state;
    return outcome.reply.verdict;
  });
  return { verdicts, state };
}

test("the highest version wins, in whatever order versions come", (t) => {
  const { verdicts, state } = play([[2, "b"], [7, "c"], [3, "a"]]);
  t.deepEqual(verdicts, ["accepted", "accepted", "older"]);
  t.is(state.document, "c");
});

test("the same order is acknowledged again", (t) => {
  const { verdicts } = play([[2, "b"], [2, "b"]]);
  t.deepEqual(verdicts, ["accepted", "known"]);
});

test("other content under the version in force changes nothing", (t) => {
  const { verdicts, state } = play([[2, "b"], [2, "other"]]);
  t.deepEqual(verdicts, ["accepted", "conflict"]);
  t.is(state.document, "b");
});

test("a snapshot gives back the same state", (t) => {
  const { state } = play([[2, "b"]]);
  const json = JSON.parse(JSON.stringify(versions.machine.toJSON(state)));
  t.deepEqual(versions.machine.fromJSON(json), state);
});
