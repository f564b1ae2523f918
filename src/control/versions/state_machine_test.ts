/** @module */

import test from "ava";
import * as configurations from "../../configuration/mod.ts";
import * as versions from "./mod.ts";

function verdictOf(reply: versions.CommandReply) {
  return "verdict" in reply ? reply.verdict : reply.reason;
}

type VersionText = [version: number, text: string];

/** Applies replace commands; returns their verdicts and the final state. */
function applyReplacements(texts: readonly VersionText[]) {
  let state = versions.stateMachine.empty;
  const verdicts = texts.map(([version, text], pos) => {
    const configuration = versions.packVersion(version, text);
    const command = versions.replaceCommand(`${pos}`, configuration);
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

test("the highest version wins, in whatever order versions arrive", (t) => {
  const { verdicts, text } = applyReplacements([[2, "b"], [7, "c"], [3, "a"]]);
  t.deepEqual(verdicts, ["accepted", "accepted", "older"]);
  t.is(text, "c");
});

test("a repeated command is acknowledged", (t) => {
  const { verdicts } = applyReplacements([[2, "b"], [2, "b"]]);
  t.deepEqual(verdicts, ["accepted", "known"]);
});

test("other content under the current version number is a conflict", (t) => {
  const { verdicts, text } = applyReplacements([[2, "b"], [2, "other"]]);
  t.deepEqual(verdicts, ["accepted", "conflict"]);
  t.is(text, "b");
});

test("a snapshot restores the same state", (t) => {
  const { state } = applyReplacements([[2, "b"]]);
  const json = JSON.parse(JSON.stringify(versions.stateMachine.toJSON(state)));
  t.deepEqual(versions.stateMachine.fromJSON(json), state);
});

type Step = [active: boolean, after: number];

/** Applies evacuation commands for one data centre; returns their verdicts and
 * the final state. */
function applyEvacuations(
  steps: readonly Step[],
  from = versions.stateMachine.empty,
) {
  let state = from;
  const verdicts = steps.map(([active, after], pos) => {
    const evacuation = { dataCentre: "north", active, after, orderedAt: pos };
    const command = versions.evacuateCommand(`e${pos}`, evacuation);
    const outcome = versions.stateMachine.apply(state, command, pos + 1);
    state = outcome.state;
    return verdictOf(outcome.reply);
  });
  return { verdicts, state };
}

test("an evacuation begins and ends", (t) => {
  const begun = applyEvacuations([[true, 0]]);
  t.true(begun.state.evacuations.isActive("north"));
  const ended = applyEvacuations([[false, 1]], begun.state);
  t.deepEqual(ended.verdicts, ["accepted"]);
  t.false(ended.state.evacuations.isActive("north"));
});

test("a repeated evacuation command is acknowledged", (t) => {
  const { verdicts, state } = applyEvacuations([[true, 0], [true, 0], [
    true,
    1,
  ]]);
  t.deepEqual(verdicts, ["accepted", "known", "known"]);
  t.is(state.evacuations.revisionOf("north"), 1);
});

test("a command that arrives after a later one has no effect", (t) => {
  const { verdicts, state } = applyEvacuations([[true, 0], [false, 1], [
    true,
    0,
  ]]);
  t.deepEqual(verdicts, ["accepted", "accepted", "outdated"]);
  t.false(state.evacuations.isActive("north"));
});

test("configuration and evacuations do not affect each other", (t) => {
  const { state } = applyEvacuations(
    [[true, 0]],
    applyReplacements([[2, "b"]]).state,
  );
  t.is(state.configuration.version, 2);
  const configuration = versions.packVersion(3, "c");
  const command = versions.replaceCommand("r", configuration);
  const next = versions.stateMachine.apply(state, command, 9).state;
  t.is(next.configuration.version, 3);
  t.true(next.evacuations.isActive("north"));
});

test("a snapshot restores evacuations", (t) => {
  const { state } = applyEvacuations(
    [[true, 0]],
    applyReplacements([[2, "b"]]).state,
  );
  const json = JSON.parse(JSON.stringify(versions.stateMachine.toJSON(state)));
  const read = versions.stateMachine.fromJSON(json);
  t.deepEqual(read.configuration, state.configuration);
  t.deepEqual(read.evacuations.list, state.evacuations.list);
});

test("a snapshot of the earlier format without evacuations is read", (t) => {
  const configuration = versions.packVersion(4, "d");
  const read = versions.stateMachine.fromJSON({ ...configuration });
  t.deepEqual(read.configuration, configuration);
  t.deepEqual(read.evacuations.list, []);
});

test("a command of a later release has no effect", (t) => {
  const { state } = applyReplacements([[2, "b"]]);
  const command = { id: "x", type: "later" };
  const outcome = versions.stateMachine.apply(state, command, 9);
  t.is(outcome.state, state);
  t.is(outcome.reply.type, "failed");
});
