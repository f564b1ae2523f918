/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as incarnations from "./incarnation.ts";
import * as peers from "./mod.ts";

const QUESTION: schema.Question = { type: "confirm" };

/** A process that asks; `sent` has the ids of its questions and keep-alives. */
function createProcess({ incarnation = incarnations.draw() } = {}) {
  const clock = new runtime.FakeClock();
  const tally = new telemetry.Tally();
  const sent: runtime.Envelope[] = [];
  const rpc = peers.Rpc.create({
    self: "a",
    incarnation,
    clock,
    metrics: tally,
    transport: { send: (envelope) => void sent.push(envelope) },
    handlers: { confirm: () => new Promise(() => {}) },
    onHandlerError: (error) => {
      throw error;
    },
  });
  /** Asks `host`; returns the id of the question and how it ended. */
  const ask = (host: string) => {
    const outcomes: string[] = [];
    void rpc.ask(host, QUESTION, { timeout: 10_000 }).then(
      (reply) => outcomes.push(reply.type),
      (error) => outcomes.push(error.name),
    );
    const { id } = sent.at(-1)!.body as schema.Ask;
    return { id, outcomes };
  };
  const receive = async (from: string, message: schema.FleetMessage) => {
    rpc.receive({ from }, message);
    for (let turn = 0; turn < 4; turn++) await Promise.resolve();
  };
  return { rpc, clock, tally, sent, ask, receive };
}

const NOTED: schema.Reply = { type: "noted" };

test("a reply to a former process does not settle a question of its successor", async (t) => {
  // Guards against results of another request after a restart.
  const former = createProcess();
  const formerIds = [1, 2, 3].map(() => former.ask("b").id);
  const successor = createProcess();
  const questions = [1, 2, 3].map(() => successor.ask("b"));
  for (const id of formerIds) {
    await successor.receive("b", { type: "answer", id, body: NOTED });
  }
  t.deepEqual(questions.flatMap(({ outcomes }) => outcomes), []);
  t.is(successor.tally.total("peer.unmatched_replies"), 3);
  const [{ id, outcomes }] = questions;
  await successor.receive("b", { type: "answer", id, body: NOTED });
  t.deepEqual(outcomes, ["noted"]);
});

test("a reply of another host than the one asked is ignored", async (t) => {
  // Guards against a process that reuses the address of the one that asked.
  const { ask, receive } = createProcess();
  const { id, outcomes } = ask("b");
  await receive("c", { type: "answer", id, body: NOTED });
  t.deepEqual(outcomes, []);
  await receive("b", { type: "answer", id, body: NOTED });
  t.deepEqual(outcomes, ["noted"]);
});

test("keep-alives for a former process or of another host do not keep a question", async (t) => {
  // Guards against waiting for a host that never received the question.
  const former = createProcess();
  const formerId = former.ask("b").id;
  const { ask, receive, clock } = createProcess();
  const { id, outcomes } = ask("b");
  for (let turn = 0; turn < 5; turn++) {
    clock.advance(200);
    await receive("b", { type: "working", ids: [formerId] });
    await receive("c", { type: "working", ids: [id] });
  }
  t.deepEqual(outcomes, ["PeerError"]);
});

test("replies and keep-alives are sent to the incarnation that asked", (t) => {
  // Guards against keep-alives to a successor for questions that it never asked.
  const { rpc, sent, clock } = createProcess();
  for (const [pos, fromIncarnation] of ["1a", "2b", undefined].entries()) {
    const message = { type: "ask" as const, id: pos, body: QUESTION };
    rpc.receive({ from: "b", fromIncarnation }, message);
  }
  clock.advance(200);
  const receivers = sent.map((
    { toIncarnation, body },
  ) => [toIncarnation, body]);
  t.deepEqual(receivers, [
    ["1a", { type: "working", ids: [0] }],
    ["2b", { type: "working", ids: [1] }],
    [undefined, { type: "working", ids: [2] }],
  ]);
});

test("ids of questions are exact integers for every incarnation", (t) => {
  for (const incarnation of ["0", "fffffffffffff"]) {
    const { ask } = createProcess({ incarnation });
    const ids = [1, 2, 3].map(() => ask("b").id);
    t.is(new Set(ids).size, 3);
    t.true(ids.every((id) => Number.isSafeInteger(id)));
  }
  const drawn = Array.from({ length: 200 }, () => incarnations.draw());
  t.true(drawn.every((each) => incarnations.decode(each) === each));
  t.is(new Set(drawn).size, drawn.length);
});
