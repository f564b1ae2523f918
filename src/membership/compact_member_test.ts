import test from "ava";
import * as briefs from "./compact_member.ts";
import * as member from "./member.ts";

const KNOWN: member.Member = {
  id: "h1",
  dataCentre: "hall",
  address: "10.0.0.1",
  port: 7000,
  incarnation: 1_764_000_000_000,
  sequence: 3,
  status: "alive",
};

test("a short statement says as much as the whole one", (t) => {
  const members = member.createMap().set(KNOWN);
  for (const status of ["alive", "suspect"] as const) {
    const statement = { ...KNOWN, sequence: 4, status };
    t.true(briefs.canEncode(KNOWN, statement));
    t.deepEqual(briefs.decode(members, briefs.encode(statement)), statement);
  }
});

test("a short statement is not taken for another run or content", (t) => {
  const text = briefs.encode({ ...KNOWN, sequence: 4 });
  const others = [
    { ...KNOWN, incarnation: KNOWN.incarnation - 1 },
    { ...KNOWN, drain: "by an operator" },
    { ...KNOWN, id: "h2" },
  ];
  for (const other of others) {
    t.is(briefs.decode(member.createMap().set(other), text), undefined);
    t.false(briefs.canEncode(other, { ...KNOWN, status: "dead" }));
  }
  const members = member.createMap().set(KNOWN);
  for (const bad of ["", "h1", "h1 x", text.replace(" a ", " q ")]) {
    t.is(briefs.decode(members, bad), undefined);
  }
});
