import test from "ava";
import * as compactMember from "./compact_member.ts";
import * as member from "./member.ts";

const KNOWN: member.Member = {
  id: "h1",
  dataCentre: "dc1",
  address: "10.0.0.1",
  port: 7000,
  incarnation: 1_764_000_000_000,
  sequence: 3,
  status: "alive",
};

test("a compactly encoded member decodes to the whole member", (t) => {
  const members = member.createMap().set(KNOWN);
  for (const status of ["alive", "suspect"] as const) {
    const update = { ...KNOWN, sequence: 4, status };
    t.true(compactMember.canEncode(KNOWN, update));
    t.deepEqual(
      compactMember.decode(members, compactMember.encode(update)),
      update,
    );
  }
});

test("a compact encoding does not apply to another incarnation or content", (t) => {
  const text = compactMember.encode({ ...KNOWN, sequence: 4 });
  const others = [
    { ...KNOWN, incarnation: KNOWN.incarnation - 1 },
    { ...KNOWN, drain: "by an operator" },
    { ...KNOWN, id: "h2" },
  ];
  for (const other of others) {
    t.is(compactMember.decode(member.createMap().set(other), text), undefined);
    t.false(compactMember.canEncode(other, { ...KNOWN, status: "dead" }));
  }
  const members = member.createMap().set(KNOWN);
  for (const bad of ["", "h1", "h1 x", text.replace(" a ", " q ")]) {
    t.is(compactMember.decode(members, bad), undefined);
  }
});
