/** @module */

import test from "ava";
import * as entryMembers from "./entry_members.ts";

function host(name: string, ready = true, age = 0) {
  return { host: name, dataCentre: "town", ready, age };
}

test("a host that no longer asks is lost", (t) => {
  const members = entryMembers.EntryMembers.create();
  members.record(host("a"), 0);
  t.is(members.live(1500).length, 1);
  t.is(members.live(1501).length, 0);
});

test("what another host has heard later counts, what it heard before does not", (t) => {
  const members = entryMembers.EntryMembers.create();
  members.record(host("a", true), 1000);
  members.record(host("a", false, 500), 1200);
  t.true(members.live(1200)[0].ready);
  members.record(host("a", false, 100), 1200);
  t.false(members.live(1200)[0].ready);
});

test("the mark of hosts tells who is there and who is ready, nothing else", (t) => {
  const mark = entryMembers.digestOf([host("a"), host("b")]);
  t.is(entryMembers.digestOf([host("b", true, 300), host("a")]), mark);
  t.not(entryMembers.digestOf([host("a"), host("b", false)]), mark);
  t.not(entryMembers.digestOf([host("a")]), mark);
});
