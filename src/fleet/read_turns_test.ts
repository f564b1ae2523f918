import test from "ava";
import * as readTurns from "./read_turns.ts";

test("a connection is read again in the next turn, once for many chunks", (t) => {
  const turn: (() => void)[] = [];
  const turns = readTurns.ReadTurns.create({
    afterTurn: (action) => turn.push(action),
  });
  const calls: string[] = [];
  const connectionOf = (name: string): readTurns.Connection => {
    const connection = {
      pause: () => (calls.push(`pause ${name}`), connection),
      resume: () => (calls.push(`resume ${name}`), connection),
    };
    return connection as unknown as readTurns.Connection;
  };
  const [one, other] = [connectionOf("one"), connectionOf("other")];
  turns.endTurn(one);
  turns.endTurn(one);
  turns.endTurn(other);
  t.deepEqual(calls, ["pause one", "pause other"]);
  t.is(turn.length, 1);
  turn.shift()!();
  t.deepEqual(calls.slice(2), ["resume one", "resume other"]);
  turns.endTurn(one);
  t.deepEqual(calls.slice(4), ["pause one"]);
  t.is(turn.length, 1);
});
