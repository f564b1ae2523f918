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

test("of two edits from one version the second is told what it lost to", (t) => {
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

test("an edit is applied whole or not at all", (t) => {
  const { table: one } = table.Table.create().apply(
    createEdit("a", [createChange(2)]),
  );
  const { table: two, answer } = one.apply(
    createEdit("b", [createChange(5, 0, "rate"), createChange(3, 0)]),
  );
  t.is(answer.type, "conflict");
  t.is(two.value("account/kivu", "rate"), undefined);
});

test("an emptied cell names who emptied it and is written from version 0", (t) => {
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
  ["a token that is no hash", [createChange("secret", 0, "tokenHash")]],
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

/** Runs edits through `machine` and the naive copy; false when they differ. */
function agrees(
  machine: table.StateMachine,
  edits: Edits,
): boolean {
  const naive = new table.NaiveTable();
  let state = machine.empty;
  for (const { current, restart, ...rest } of edits) {
    const edit = rest as schema.Edit;
    if (current) refresh(edit, state.table);
    const command = { type: "edit" as const, id: "x", at: 1, edit };
    const step = machine.apply(state, command);
    if (!equal(step.reply, naive.apply(edit))) return false;
    state = restart ? reload(machine, step.state) : step.state;
  }
  return equal(filled(state.table), sorted(naive.filled())) &&
    state.table.revision === naive.revision;
}

/** Makes most edits come from the version that they would have seen. */
function refresh(edit: schema.Edit, current: table.Table): void {
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

test("answers as the naive table over races, resends and restarts", (t) => {
  const machine = table.createStateMachine();
  const property = fc.property(anyEdits, (edits) => agrees(machine, edits));
  fc.assert(property, { seed: SEED, numRuns: 150 });
  t.pass();
});

test("the comparison finds a machine that applies resends again", (t) => {
  const machine = table.createStateMachine();
  const forgetful: table.StateMachine = {
    ...machine,
    apply(state, command) {
      const { operations } = machine.empty;
      return machine.apply({ ...state, operations }, command);
    },
  };
  const property = fc.property(anyEdits, (edits) => agrees(forgetful, edits));
  t.true(fc.check(property, { seed: SEED, numRuns: 150 }).failed);
});

test("a machine restarted after hundreds of changes is the same machine", (t) => {
  const machine = table.createStateMachine();
  let kept = machine.empty;
  let restarted = machine.empty;
  for (let pos = 0; pos < 600; pos++) {
    const version = kept.table.cell("account/kivu", "weight")?.version ?? 0;
    const edit = createEdit(`op${pos % 450}`, [createChange(pos + 1, version)]);
    const command = { type: "edit" as const, id: "x", at: pos * 1000, edit };
    kept = machine.apply(kept, command).state;
    restarted = machine.apply(restarted, command).state;
    if (pos % 97 === 0) restarted = reload(machine, restarted);
  }
  t.deepEqual(machine.toJSON(restarted), machine.toJSON(kept));
});

test("an operation id is kept for its time, and a full memory refuses", (t) => {
  const limits = { retentionMs: 10_000, maxCount: 2 };
  let memory = table.operations.Operations.create(limits);
  const answer: table.Answer = { type: "accepted", revision: 1 };
  const edits = ["a", "b", "c"].map((id) => createEdit(id, [createChange(1)]));
  memory = memory.add(edits[0], answer, 0).add(edits[1], answer, 5000);
  t.is(memory.find(edits[2])?.type, "refused");
  t.deepEqual(memory.sweep(10_999).find(edits[0]), answer);
  memory = memory.sweep(11_000);
  t.is(memory.find(edits[0]), undefined);
  t.deepEqual(memory.find(edits[1]), answer);
});

test("an operation id used for another edit is refused", (t) => {
  const memory = table.operations.Operations.create().add(
    createEdit("a", [createChange(1)]),
    { type: "accepted", revision: 1 },
    0,
  );
  const known = memory.find(createEdit("a", [createChange(2)]));
  t.is(known?.type, "refused");
});
