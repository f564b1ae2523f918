import test from "ava";
import * as fs from "node:fs";
import * as routing from "../../src/routing/mod.ts";
import * as fleets from "../log_fleet.ts";
import * as fixture from "../routing/fixture.ts";
import * as hosts from "./hosts.ts";
import * as matters from "./matters.ts";
import * as page from "./page.ts";
import type * as slope from "./slope.ts";
import * as tables from "./tables.ts";

const PAGE = "docs/CAPACITY.md";
const SLOPES = "docs/capacity/slopes.json";
const MINUTE = 60_000;

function slopes(): slope.Slope[] {
  return JSON.parse(fs.readFileSync(SLOPES, "utf8"));
}

/** Loads that a choice among `size` endpoints looks at, on average. */
function comparisons(size: number): number {
  const group = fixture.group(size);
  const { predictLoad: load } = group;
  let count = 0;
  group.predictLoad = (...args) => {
    count++;
    return load.apply(group, args);
  };
  const choices = 200;
  for (let pos = 0; pos < choices; pos++) {
    const call = fixture.call(fixture.prompt(pos, pos));
    routing.endpointChoice.choose(group, call, 100);
  }
  return count / choices;
}

test("the page has the tables of the saved slopes", (t) => {
  const text = fs.readFileSync(PAGE, "utf8");
  t.is(page.write(text, slopes()), text);
});

test("every slope is saved and has its plot", (t) => {
  const names = matters.all.map(({ name }) => name);
  t.deepEqual(slopes().map(({ name }) => name), names);
  for (const name of names) {
    t.true(fs.existsSync(`docs/capacity/${page.fileOf(name)}`), name);
  }
});

test("a host sends one probe and one answer a second", (t) => {
  const fleet = hosts.Fleet.create(24);
  const { messages, bytes } = fleet.rate(MINUTE, "membership");
  t.true(messages <= 2.05);
  t.true(bytes / messages <= 130);
});

test("a host's renewals of endpoints stay within a bound", (t) => {
  const rates = [6, 14].map((endpoints) =>
    hosts.Fleet.create(12, 12 * endpoints).rate(MINUTE, "registry")
  );
  for (const { messages, bytes } of rates) {
    t.true(messages <= 7);
    t.true(bytes <= 1000);
  }
});

test("a watcher costs its publisher two short messages a second", (t) => {
  const out = new tables.FanOut(26);
  out.second();
  out.bytes = 0;
  out.messages = 0;
  for (let second = 0; second < 10; second++) out.second();
  t.true(out.messages <= 26 * 10 * 2.5);
  t.true(out.bytes <= 26 * 10 * 160);
});

test("a delta of one cell is small", (t) => {
  const chain = new tables.Chain(1, []);
  // Off the moment at which a keepalive goes along.
  chain.run(100);
  chain.bytes.clear();
  chain.commit();
  t.true(chain.bytes.get("p")! <= 150);
});

test("the leader's heartbeats grow with the voters alone", async (t) => {
  const sent: number[] = [];
  for (const count of [3, 5]) {
    const names = Array.from({ length: count }, (_, pos) => `voter-${pos}`);
    const fleet = await fleets.CountedFleet.create(names);
    await fleet.elapse(5000);
    sent.push(fleet.bytes.get(fleet.leader.leader!)! / 5 / (count - 1));
  }
  for (const bytes of sent) t.true(bytes <= 900);
});

test("a choice looks at few endpoints, however many there are", (t) => {
  t.true(comparisons(180) <= 16);
  t.true(comparisons(5500) <= 16);
});
