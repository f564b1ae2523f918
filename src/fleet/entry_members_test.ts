/** @module */

import test from "ava";
import * as entryMembers from "./entry_members.ts";

function host(name: string, ready = true, age = 0) {
  return { host: name, dataCentre: "town", ready, age };
}

test("a host that stops sending sync requests is lost", (t) => {
  const members = entryMembers.EntryMembers.create();
  members.record(host("a"), 0);
  t.is(members.live(1500).length, 1);
  t.is(members.live(1501).length, 0);
});

test("a report from another host counts only if it is newer", (t) => {
  const members = entryMembers.EntryMembers.create();
  members.record(host("a", true), 1000);
  members.record(host("a", false, 500), 1200);
  t.true(members.live(1200)[0].ready);
  members.record(host("a", false, 100), 1200);
  t.false(members.live(1200)[0].ready);
});

test("the digest depends on hosts, their readiness and capacity alone", (t) => {
  const mark = entryMembers.digestOf([host("a"), host("b")]);
  t.is(entryMembers.digestOf([host("b", true, 300), host("a")]), mark);
  t.not(entryMembers.digestOf([host("a"), host("b", false)]), mark);
  t.not(entryMembers.digestOf([host("a")]), mark);
  const larger = { ...host("b"), capacity: 0.8 };
  t.not(entryMembers.digestOf([host("a"), larger]), mark);
});
