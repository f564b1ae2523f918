import test from "ava";
import type * as schema from "../../schema/table_types.ts";
import * as fakeFleet from "./fake_fleet.ts";
import type * as control from "./mod.ts";

const { HOSTS, VOTERS } = fakeFleet;

function createEdit(
  operation: string,
  change: { row: string; version: number; value: number },
): schema.Edit {
  const changes: schema.Edit["changes"] = [{ ...change, column: "weight" }];
  return { operation, actor: "planner", changes };
}

test("an edit proposed at any host reaches all hosts", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 1));
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  const answer = await fleet.runUntil(fleet.hosts.get("f")!.edit(edit));
  t.deepEqual(answer, { type: "accepted", revision: 2 });
  await fleet.run(2_000);
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 2));
});

test("an edit resent to another leader gets the first answer", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  const first = await fleet.runUntil(fleet.hosts.get("d")!.edit(edit));
  fleet.kill(fleet.leader);
  const second = await fleet.runUntil(fleet.hosts.get("e")!.edit(edit));
  t.deepEqual(second, first);
});

test("an isolated host rejects edits as unavailable and keeps its table", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  fleet.isolated.add("e");
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  const answer = await fleet.runUntil(fleet.hosts.get("e")!.edit(edit));
  t.is(answer.type, "unavailable");
  t.is(fleet.hosts.get("e")!.view().revision, 1);
});

test("accepted edits survive a simultaneous restart of all hosts", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.runUntil(fleet.hosts.get("d")!.edit(edit));
  HOSTS.forEach((id) => fleet.kill(id));
  for (const id of HOSTS) await fleet.startHost(id);
  await fleet.run(3_000);
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 2));
  t.is(fleet.hosts.get("f")!.view().value("account/x", "weight"), 3);
});

function createClaim(request: string, key = "entry-1"): Parameters<
  control.ClaimClient["claim"]
>[0] {
  return {
    account: "club",
    key,
    fingerprint: "f",
    request,
    remaining: 5_000,
  };
}

test("a key claimed by one host is not granted to another", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const [d, e] = [fleet.hosts.get("d")!, fleet.hosts.get("e")!];
  const first = await fleet.runUntil(d.claims.claim(createClaim("r1")));
  t.is(first.type, "granted");
  const second = await fleet.runUntil(e.claims.claim(createClaim("r2")));
  t.is(second.type, "in-progress");
  const answer = { status: 200, headers: {}, body: "done" };
  d.claims.settle(createClaim("r1"), answer);
  await fleet.run(100);
  const third = await fleet.runUntil(e.claims.claim(createClaim("r3")));
  t.deepEqual(third, { type: "answered", answer });
});

// The request may have run before the restart, so it must not run again.
test("a claim of a restarted host ends with an unknown outcome", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  await fleet.runUntil(fleet.hosts.get("d")!.claims.claim(createClaim("r1")));
  fleet.kill("d");
  await fleet.startHost("d");
  await fleet.run(1_000);
  const again = await fleet.runUntil(
    fleet.hosts.get("d")!.claims.claim(createClaim("r2")),
  );
  t.like(again, { type: "refused", outcome: "unknown" });
});

const HOUR = 3_600_000;

for (const start of ["with a quorum", "without a quorum"]) {
  // The earlier run has the higher incarnation; the claims of the new run must
  // not be taken for claims of a run that has ended.
  test(`claims stay valid when the clock is set back an hour, started ${start}`, async (t) => {
    const fleet = await fakeFleet.FakeFleet.start();
    const e = fleet.hosts.get("e")!.claims;
    fleet.kill("d");
    await fleet.startHost("d", 2 * HOUR);
    const before = fleet.hosts.get("d")!.claims;
    await fleet.runUntil(before.claim(createClaim("r1", "before")));
    fleet.kill("d");
    if (start === "without a quorum") fleet.isolated.add("d");
    await fleet.startHost("d", HOUR);
    if (start === "without a quorum") await fleet.run(6_000);
    fleet.isolated.delete("d");
    const after = fleet.hosts.get("d")!.claims;
    const granted = await fleet.runUntil(
      after.claim(createClaim("r2", "after")),
    );
    t.is(granted.type, "granted");
    const held = await fleet.runUntil(e.claim(createClaim("r3", "after")));
    t.is(held.type, "in-progress");
    const lost = await fleet.runUntil(e.claim(createClaim("r4", "before")));
    t.like(lost, { type: "refused", outcome: "unknown" });
    const answer = { status: 200, headers: {}, body: "done" };
    after.settle(createClaim("r2", "after"), answer);
    await fleet.run(100);
    const answered = await fleet.runUntil(e.claim(createClaim("r5", "after")));
    t.deepEqual(answered, { type: "answered", answer });
  });
}

test("an answer settled just before a stop is returned by other hosts", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const [d, e] = [fleet.hosts.get("d")!, fleet.hosts.get("e")!];
  await fleet.runUntil(d.claims.claim(createClaim("r1")));
  // The settlement must wait for the election of another leader.
  fleet.kill(fleet.leader);
  const answer = { status: 200, headers: {}, body: "done" };
  d.claims.settle(createClaim("r1"), answer);
  await fleet.runUntil(d.flushClaims());
  fleet.kill("d");
  const again = await fleet.runUntil(e.claims.claim(createClaim("r2")));
  t.deepEqual(again, { type: "answered", answer });
});

test("a stop waits for settlements no longer than its timeout", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const d = fleet.hosts.get("d")!;
  await fleet.runUntil(d.flushClaims());
  await fleet.runUntil(d.claims.claim(createClaim("r1")));
  fleet.isolated.add("d");
  d.claims.settle(createClaim("r1"), undefined);
  const before = fleet.clock.now();
  await fleet.runUntil(d.flushClaims());
  t.true(fleet.clock.now() - before <= 3_010);
  fleet.kill("d");
});

test("a restarted voter catches up with edits made while it was down", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const voter = VOTERS.find((id) => id !== fleet.leader)!;
  fleet.kill(voter);
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.runUntil(fleet.hosts.get("d")!.edit(edit));
  await fleet.startHost(voter);
  t.true(await fleet.runUntil(fleet.caughtUp.get(voter)!));
  t.is(fleet.hosts.get(voter)!.view().revision, 2);
});

test("catching up gives up on a host that starts without a quorum", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const voter = VOTERS.find((id) => id !== fleet.leader)!;
  fleet.kill(voter);
  fleet.isolated.add(voter);
  await fleet.startHost(voter);
  t.false(await fleet.runUntil(fleet.caughtUp.get(voter)!));
});

const OBSERVED = {
  hosts: [...HOSTS, "g", "h"],
  observers: ["d", "e"],
};

test("with observers, the other hosts send no watch messages to voters", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start(OBSERVED);
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  const answer = fleet.runUntil(fleet.hosts.get("h")!.edit(edit));
  t.deepEqual(await answer, { type: "accepted", revision: 2 });
  await fleet.run(500);
  t.deepEqual(fleet.revisions(), OBSERVED.hosts.map(() => 2));
  for (const id of ["f", "g", "h"]) {
    for (const to of fleet.watchTargets.get(id)!) {
      t.true(OBSERVED.observers.includes(to), `${id} watches ${to}`);
    }
  }
});

test("hosts watch the voters when no observer answers", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start(OBSERVED);
  for (const id of OBSERVED.observers) fleet.isolated.add(id);
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.runUntil(fleet.hosts.get("a")!.edit(edit));
  await fleet.run(3_000);
  for (const id of ["f", "g", "h"]) {
    t.is(fleet.hosts.get(id)!.view().revision, 2);
  }
});

// An observer that is up but stale must not keep its subscribers stale.
test("hosts leave observers that are cut off from the voters", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start(OBSERVED);
  // Observers reach the hosts that watch them, but no voter.
  for (const voter of VOTERS) {
    for (const id of OBSERVED.observers) fleet.cutLink(voter, id);
  }
  const edit = createEdit("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.runUntil(fleet.hosts.get("a")!.edit(edit));
  await fleet.run(5_000);
  for (const id of ["f", "g", "h"]) {
    t.is(fleet.hosts.get(id)!.view().revision, 2);
  }
});

test("a change of voters is logged with the leader and the new voters", async (t) => {
  const fleet = await fakeFleet.FakeFleet.start();
  const voter = VOTERS.find((id) => id !== fleet.leader)!;
  const { leader } = fleet;
  fleet.kill(voter);
  fleet.wipeDisk(voter);
  await fleet.startHost(voter);
  await fleet.run(5_000);
  const changes = fleet.lines.filter(({ msg, host }) =>
    msg === "members of the log changed" && host === leader
  );
  const first = changes[0] as unknown as { voters: string[] };
  const last = changes.at(-1) as unknown as { voters: string[] };
  t.like(last, { leader });
  t.is(last.voters.length, VOTERS.length);
  t.notDeepEqual(last.voters, first.voters);
});
