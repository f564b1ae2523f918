import test from "ava";
import * as readTurns from "./read_turns.ts";

function createTurns() {
  const turn: (() => void)[] = [];
  const calls: string[] = [];
  const turns = readTurns.ReadTurns.create({
    afterTurn: (action) => turn.push(action),
  });
  const readerOf = (name: string, turnChunks = 1): readTurns.Reader => ({
    turnChunks,
    pause: () => void calls.push(`pause ${name}`),
    resume: () => void calls.push(`resume ${name}`),
  });
  const endTurn = () => turn.splice(0).forEach((action) => action());
  return { turns, calls, readerOf, endTurn };
}

test("a body is read again in the next turn, once for many chunks", (t) => {
  const { turns, calls, readerOf, endTurn } = createTurns();
  const [one, other] = [readerOf("one"), readerOf("other")];
  turns.endTurn(one);
  turns.endTurn(one);
  turns.endTurn(other);
  t.deepEqual(calls, ["pause one", "pause other"]);
  endTurn();
  t.deepEqual(calls.slice(2), ["resume one", "resume other"]);
  turns.endTurn(one);
  t.deepEqual(calls.slice(4), ["pause one"]);
});

// Guards against turns of a second in which no other request is read.
test("few bodies in small chunks are read in one turn, all in some", (t) => {
  const { turns, calls, readerOf, endTurn } = createTurns();
  for (const name of ["a", "b", "c"]) turns.endTurn(readerOf(name, 3000));
  turns.endTurn(readerOf("d", 5000));
  calls.length = 0;
  const byTurn = [1, 2, 3, 4].map(() => {
    endTurn();
    return calls.splice(0);
  });
  t.deepEqual(byTurn, [["resume a"], ["resume b"], ["resume c"], ["resume d"]]);
  endTurn();
  t.deepEqual(calls, []);
});
