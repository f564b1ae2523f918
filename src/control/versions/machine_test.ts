/** @module */

import test from "ava";
import * as configurations from "../../configuration/mod.ts";
import * as versions from "./mod.ts";

type Order = [version: number, text: string];

/** Verdicts on orders, one after the other, and what is in force then. */
function play(orders: readonly Order[]) {
  let state = versions.machine.empty;
  const verdicts = orders.map(([version, text], pos) => {
    const edition = versions.editionOf(version, text);
    const command = versions.command(`${pos}`, edition);
    const outcome = versions.machine.apply(state, command, pos + 1);
    state = outcome.state;
    return outcome.reply.verdict;
  });
  return { verdicts, state, text: configurations.unpack(state.document) };
}

test("the highest version wins, in whatever order versions come", (t) => {
  const { verdicts, text } = play([[2, "b"], [7, "c"], [3, "a"]]);
  t.deepEqual(verdicts, ["accepted", "accepted", "older"]);
  t.is(text, "c");
});

test("the same order is acknowledged again", (t) => {
  const { verdicts } = play([[2, "b"], [2, "b"]]);
  t.deepEqual(verdicts, ["accepted", "known"]);
});

test("other content under the version in force changes nothing", (t) => {
  const { verdicts, text } = play([[2, "b"], [2, "other"]]);
  t.deepEqual(verdicts, ["accepted", "conflict"]);
  t.is(text, "b");
});

test("a snapshot gives back the same state", (t) => {
  const { state } = play([[2, "b"]]);
  const json = JSON.parse(JSON.stringify(versions.machine.toJSON(state)));
  t.deepEqual(versions.machine.fromJSON(json), state);
});
