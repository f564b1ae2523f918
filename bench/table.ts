/** Cost of an edit by number of accounts, of a claim by number of claims, and
 * the bytes that both take on the wire and in memory.
 * @module */

import * as table from "../src/control/table/mod.ts";
import * as watch from "../src/control/watch/mod.ts";
import * as gauge from "./capacity/gauge.ts";
import * as machines from "./machine.ts";
import type * as result from "./result.ts";

const ACCOUNTS = [5, 250, 2500];
const CLAIMS = [0, 10_000, 30_000];
const OPERATIONS = 5000;
const COPIES = 200;
/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "edits and claims: time, bytes and memory",
  run: () => Promise.resolve(runAll()),
};

function runAll(): result.Result[] {
  return [...timeEdits(), ...timeClaims(), ...weighTable(), ...weighClaims()];
}

function timeEdits(): result.Result[] {
  const results: result.Result[] = [];
  // The first rounds warm up the code.
  const times = [ACCOUNTS[0], ...ACCOUNTS].map((size) =>
    timeEach(OPERATIONS, editor(machines.fill(size)))
  ).slice(1);
  ACCOUNTS.forEach((size, pos) =>
    results.push(time(`edit/${size} accounts`, times[pos]))
  );
  const copying = timeEach(COPIES, copier(machines.fill(2500)));
  results.push(ratio("edit/2500 of 5 accounts", times[2] / times[0], 4));
  results.push(
    ratio("edit/2500 accounts of copying it all", times[2] / copying, 0.5),
  );
  return results;
}

function timeClaims(): result.Result[] {
  const times = [0, ...CLAIMS].map((size) => timeClaim(size)).slice(1);
  const results = CLAIMS.map((size, pos) =>
    time(`claim and settle/${size} claims`, times[pos])
  );
  results.push(ratio("claim/30000 of 0 claims", times[2] / times[0], 6));
  return results;
}

function weighTable(): result.Result[] {
  let state = machines.fill(0);
  const bytes = gauge.weigh(() => state = machines.fill(2500));
  const step = editor(state)();
  const delta = deltaOf(state, step);
  const snapshot = JSON.stringify(state.table);
  const edited = gauge.weigh(() => {
    const edit = editor(state);
    let last = state;
    for (let pos = 0; pos < OPERATIONS; pos++) last = edit().state;
    return last;
  });
  return [
    size("table/memory with 2500 accounts of 6 cells", bytes, 8e6),
    length("table/snapshot of 2500 accounts", snapshot.length, 2e6),
    length("table/delta message of one cell", delta, 400),
    size("operation/memory of one answer", edited / OPERATIONS, 1000),
  ];
}

function weighClaims(): result.Result[] {
  const machine = table.createStateMachine();
  const bytes = gauge.weigh(() => {
    let state = machine.empty;
    for (let pos = 0; pos < OPERATIONS; pos++) {
      state = machine.apply(state, machines.createClaim(pos)).state;
      state = machine.apply(state, machines.createSettle(pos)).state;
    }
    return state;
  });
  const sent = JSON.stringify(machines.createClaim(1)).length;
  const settled = JSON.stringify(machines.createSettle(1)).length;
  return [
    length("claim/command", sent, 400),
    length("claim/settlement with an answer of 200 characters", settled, 600),
    size("claim/memory with that answer", bytes / OPERATIONS, 2000),
  ];
}

/** Changes one cell of each account in turn. */
function editor(first: table.State): () => table.Step {
  const machine = table.createStateMachine();
  const { size } = first.table;
  let state = first;
  let pos = 0;
  return () => {
    const row = `account/a${pos % size}`;
    const version = state.table.cell(row, "weight")!.version;
    const change = { row, column: "weight", version, value: 1 + pos % 7 };
    const edit = { operation: `op-${pos++}`, actor: "an", changes: [change] };
    const step = machine.apply(state, { type: "edit", id: "x", at: 0, edit });
    state = step.state;
    return step;
  };
}

/** The same by copying every row, the plainest immutable table. */
function copier({ table }: table.State): () => void {
  let { revision, rows } = table.toJSON();
  let pos = 0;
  return () => {
    const target = `account/a${pos++ % rows.length}`;
    revision++;
    const cell = { value: 1 + pos % 7, version: revision, actor: "an" };
    rows = rows.map(({ row, cells }) =>
      row === target
        ? { row, cells: { ...cells, weight: cell } }
        : { row, cells: { ...cells } }
    );
  };
}

function timeClaim(size: number): number {
  const machine = table.createStateMachine();
  let state = machine.empty;
  for (let pos = 0; pos < size; pos++) {
    state = machine.apply(state, machines.createClaim(pos)).state;
  }
  let pos = size;
  return timeEach(2000, () => {
    state = machine.apply(state, machines.createClaim(pos)).state;
    state = machine.apply(state, machines.createSettle(pos++)).state;
  });
}

/** Bytes of the message that tells one watcher of `step`. */
function deltaOf(before: table.State, step: table.Step): number {
  const { revision } = before.table;
  const subscribe = { type: "subscribe" as const, revision };
  let { publisher } = watch.Publisher.create(before.table).step(
    { type: "message", from: "w", body: subscribe },
    0,
  );
  const { table, written } = step.state;
  publisher = publisher.step({ type: "commit", table, written }, 1).publisher;
  const { effects } = publisher.step({ type: "tick" }, 100);
  const sent = effects.find((effect) => effect.type === "send")!;
  return JSON.stringify(sent.body).length;
}

function timeEach(operations: number, run: () => void): number {
  const start = performance.now();
  for (let pos = 0; pos < operations; pos++) run();
  return (performance.now() - start) / operations;
}

function time(name: string, ms: number): result.Result {
  return { name, unit: "us", value: ms * 1000, kind: "time" };
}

function ratio(name: string, value: number, most: number): result.Result {
  return { name, unit: "times", value, kind: "speed", bound: { most } };
}

function size(name: string, value: number, most: number): result.Result {
  return { name, unit: "bytes", value, kind: "size", bound: { most } };
}

/** Length of a message, which is the same in each run. */
function length(name: string, value: number, most: number): result.Result {
  return { name, unit: "bytes", value, kind: "count", bound: { most } };
}
