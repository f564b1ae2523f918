/** @module */

import test from "ava";
import * as configurations from "../../configuration/mod.ts";
import * as versions from "./mod.ts";

function verdictOf(reply: versions.CommandReply) {
  return "verdict" in reply ? reply.verdict : reply.reason;
}

type Order = [version: number, text: string];

/** Verdicts on orders, one after the other, and what is in force then. */
function play(orders: readonly Order[]) {
  let state = versions.stateMachine.empty;
  const verdicts = orders.map(([version, text], pos) => {
    const edition = versions.packVersion(version, text);
    const command = versions.replaceCommand(`${pos}`, edition);
    const outcome = versions.stateMachine.apply(state, command, pos + 1);
    state = outcome.state;
    return verdictOf(outcome.reply);
  });
  return {
    verdicts,
    state,
    text: configurations.decompress(state.configuration.document),
  };
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
  const json = JSON.parse(JSON.stringify(versions.stateMachine.toJSON(state)));
  t.deepEqual(versions.stateMachine.fromJSON(json), state);
});

type Step = [active: boolean, after: number];

/** Verdicts on orders about one data centre, and the state they lead to. */
function evacuate(steps: readonly Step[], from = versions.stateMachine.empty) {
  let state = from;
  const verdicts = steps.map(([active, after], pos) => {
    const order = { dataCentre: "north", active, after, orderedAt: pos };
    const command = versions.evacuateCommand(`e${pos}`, order);
    const outcome = versions.stateMachine.apply(state, command, pos + 1);
    state = outcome.state;
    return verdictOf(outcome.reply);
  });
  return { verdicts, state };
}

test("an evacuation begins and ends", (t) => {
  const begun = evacuate([[true, 0]]);
  t.true(begun.state.evacuations.isActive("north"));
  const ended = evacuate([[false, 1]], begun.state);
  t.deepEqual(ended.verdicts, ["accepted"]);
  t.false(ended.state.evacuations.isActive("north"));
});

test("an evacuation that was begun is acknowledged again", (t) => {
  const { verdicts, state } = evacuate([[true, 0], [true, 0], [true, 1]]);
  t.deepEqual(verdicts, ["accepted", "known", "known"]);
  t.is(state.evacuations.revisionOf("north"), 1);
});

test("an order that comes after a later one has no effect", (t) => {
  const { verdicts, state } = evacuate([[true, 0], [false, 1], [true, 0]]);
  t.deepEqual(verdicts, ["accepted", "accepted", "outdated"]);
  t.false(state.evacuations.isActive("north"));
});

test("versions and evacuations leave each other alone", (t) => {
  const { state } = evacuate([[true, 0]], play([[2, "b"]]).state);
  t.is(state.configuration.version, 2);
  const edition = versions.packVersion(3, "c");
  const command = versions.replaceCommand("r", edition);
  const next = versions.stateMachine.apply(state, command, 9).state;
  t.is(next.configuration.version, 3);
  t.true(next.evacuations.isActive("north"));
});

test("a snapshot gives back evacuations", (t) => {
  const { state } = evacuate([[true, 0]], play([[2, "b"]]).state);
  const json = JSON.parse(JSON.stringify(versions.stateMachine.toJSON(state)));
  const read = versions.stateMachine.fromJSON(json);
  t.deepEqual(read.configuration, state.configuration);
  t.deepEqual(read.evacuations.list, state.evacuations.list);
});

test("a snapshot of a machine that knew editions alone is read", (t) => {
  const edition = versions.packVersion(4, "d");
  const read = versions.stateMachine.fromJSON({ ...edition });
  t.deepEqual(read.configuration, edition);
  t.deepEqual(read.evacuations.list, []);
});

test("a command of a later release has no effect", (t) => {
  const { state } = play([[2, "b"]]);
  const command = { id: "x", type: "later" };
  const outcome = versions.stateMachine.apply(state, command, 9);
  t.is(outcome.state, state);
  t.is(outcome.reply.type, "failed");
});
