import test from "ava";
import * as fc from "fast-check";
import type * as schema from "../../schema/table_types.ts";
import * as table from "./mod.ts";

const SEED = 5;

function createEdit(
  operation: string,
  changes: schema.Change[],
  actor = "an",
): schema.Edit {
  return { operation, actor, changes: changes as [schema.Change] };
}

function createChange(
  value: schema.CellValue | null,
  version = 0,
  column: schema.Column = "weight",
): schema.Change {
  return { row: "account/kivu", column, version, value };
}

test("the second of two edits of one version gets the conflicting cell", (t) => {
  const first = table.Table.create().apply(createEdit("a", [createChange(2)]));
  const second = first.table.apply(createEdit("b", [createChange(3)], "binh"));
  t.deepEqual(first.answer, { type: "accepted", revision: 1 });
  t.deepEqual(second.answer, {
    type: "conflict",
    conflict: {
      row: "account/kivu",
      column: "weight",
      version: 1,
      value: 2,
      actor: "an",
    },
  });
  t.is(second.table, first.table);
});

test("an edit is atomic", (t) => {
  const { table: one } = table.Table.create().apply(
    createEdit("a", [createChange(2)]),
  );
  const { table: two, answer } = one.apply(
    createEdit("b", [createChange(5, 0, "rate"), createChange(3, 0)]),
  );
  t.is(answer.type, "conflict");
  t.is(two.value("account/kivu", "rate"), undefined);
});

test("an emptied cell keeps its last actor and is edited from version 0", (t) => {
  const one = table.Table.create().apply(createEdit("a", [createChange(2)]));
  const two = one.table.apply(createEdit("b", [createChange(null, 1)], "binh"));
  const lost = two.table.apply(createEdit("c", [createChange(4, 1)]));
  const won = two.table.apply(createEdit("d", [createChange(4, 0)]));
  t.is(two.table.row("account/kivu"), undefined);
  t.like(lost.answer, { conflict: { version: 0, value: null, actor: "binh" } });
  t.is(won.table.value("account/kivu", "weight"), 4);
});

const refused: [string, schema.Change[]][] = [
  ["a weight of 0", [createChange(0)]],
  ["a priority of 10", [createChange(10, 0, "priority")]],
  ["a token that is not a hash", [createChange("secret", 0, "tokenHash")]],
  ["a model for an account", [createChange("m", 0, "model")]],
  ["a number that is not finite", [createChange(Infinity, 0, "rate")]],
  ["one cell twice", [createChange(1), createChange(2)]],
];

for (const [name, changes] of refused) {
  test(`refuses ${name}`, (t) => {
    const { answer } = table.Table.create().apply(createEdit("a", changes));
    t.is(answer.type, "refused");
  });
}

const anyChange = fc.record({
  row: fc.constantFrom("account/a", "account/b", "service/c"),
  column: fc.constantFrom<schema.Column>("weight", "rate", "model"),
  version: fc.integer({ min: 0, max: 12 }),
  value: fc.oneof(
    fc.constantFrom<schema.CellValue | null>(null, "m"),
    fc.integer({ min: -1, max: 5 }),
  ),
});

const anyEdits = fc.array(
  fc.record({
    operation: fc.integer({ min: 0, max: 60 }).map(String),
    actor: fc.constantFrom("an", "binh"),
    changes: fc.array(anyChange, { minLength: 1, maxLength: 3 }),
    current: fc.boolean(),
    restart: fc.boolean(),
  }),
  { maxLength: 200 },
);

type Edits = typeof anyEdits extends fc.Arbitrary<infer T> ? T : never;

/** Applies edits to `machine` and to the naive table; returns whether their
 * answers and final contents are equal. */
function agreesWithNaive(
  machine: table.StateMachine,
  edits: Edits,
): boolean {
  const naive = new table.NaiveTable();
  let state = machine.empty;
  for (const { current, restart, ...rest } of edits) {
    const edit = rest as schema.Edit;
    if (current) setCurrentVersions(edit, state.table);
    const command = { type: "edit" as const, id: "x", at: 1, edit };
    const step = machine.apply(state, command);
    if (!equal(step.reply, naive.apply(edit))) return false;
    state = restart ? reload(machine, step.state) : step.state;
  }
  return equal(filled(state.table), sorted(naive.filled())) &&
    state.table.revision === naive.revision;
}

/** Sets the versions of an edit to the current ones, so that most edits have no
 * conflict. */
function setCurrentVersions(edit: schema.Edit, current: table.Table): void {
  for (const change of edit.changes) {
    change.version = current.cell(change.row, change.column)?.version ?? 0;
  }
}

function reload(machine: table.StateMachine, state: table.State): table.State {
  return machine.fromJSON(JSON.parse(JSON.stringify(machine.toJSON(state))));
}

function filled(current: table.Table): Record<string, schema.Cell> {
  const cells = current.rows().flatMap(({ row, cells }) =>
    Object.entries(cells).map(([name, cell]) => [`${row} ${name}`, cell])
  );
  return sorted(Object.fromEntries(cells));
}

function sorted<T>(record: Record<string, T>): Record<string, T> {
  return Object.fromEntries(Object.entries(record).sort());
}

function equal(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

test("answers equal the naive table's over conflicts, resends and restarts", (t) => {
  const machine = table.createStateMachine();
  const property = fc.property(
    anyEdits,
    (edits) => agreesWithNaive(machine, edits),
  );
  fc.assert(property, { seed: SEED, numRuns: 150 });
  t.pass();
});

test("the comparison detects a machine that applies resent edits again", (t) => {
  const machine = table.createStateMachine();
  const forgetful: table.StateMachine = {
    ...machine,
    apply(state, command) {
      const { operations } = machine.empty;
      return machine.apply({ ...state, operations }, command);
    },
  };
  const property = fc.property(
    anyEdits,
    (edits) => agreesWithNaive(forgetful, edits),
  );
  t.true(fc.check(property, { seed: SEED, numRuns: 150 }).failed);
});

test("the state is the same with and without restores from JSON", (t) => {
  const machine = table.createStateMachine();
  let continuous = machine.empty;
  let restarted = machine.empty;
  for (let pos = 0; pos < 600; pos++) {
    const version = continuous.table.cell("account/kivu", "weight")?.version ??
      0;
    const edit = createEdit(`op${pos % 450}`, [createChange(pos + 1, version)]);
    const command = { type: "edit" as const, id: "x", at: pos * 1000, edit };
    continuous = machine.apply(continuous, command).state;
    restarted = machine.apply(restarted, command).state;
    if (pos % 97 === 0) restarted = reload(machine, restarted);
  }
  t.deepEqual(machine.toJSON(restarted), machine.toJSON(continuous));
});

test("an operation id is kept until it expires, and a full record refuses", (t) => {
  const limits = { retentionMs: 10_000, maxCount: 2 };
  let record = table.operations.Operations.create(limits);
  const answer: table.Answer = { type: "accepted", revision: 1 };
  const edits = ["a", "b", "c"].map((id) => createEdit(id, [createChange(1)]));
  record = record.add(edits[0], answer, 0).add(edits[1], answer, 5000);
  t.is(record.find(edits[2])?.type, "refused");
  t.deepEqual(record.sweep(10_999).find(edits[0]), answer);
  record = record.sweep(11_000);
  t.is(record.find(edits[0]), undefined);
  t.deepEqual(record.find(edits[1]), answer);
});

test("an operation id used for another edit is refused", (t) => {
  const record = table.operations.Operations.create().add(
    createEdit("a", [createChange(1)]),
    { type: "accepted", revision: 1 },
    0,
  );
  const known = record.find(createEdit("a", [createChange(2)]));
  t.is(known?.type, "refused");
});
