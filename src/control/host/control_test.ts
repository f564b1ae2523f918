import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import * as storage from "../../storage/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as control from "./mod.ts";

const VOTERS = ["a", "b", "c"];
const HOSTS = [...VOTERS, "d", "e", "f"];

/** Six hosts in one process, whose messages take a millisecond. */
class Fleet {
  readonly clock = new runtime.FakeClock();
  readonly hosts = new Map<string, control.Control>();
  readonly cut = new Set<string>();
  /** Whether each host found a quorum when it started. */
  readonly caughtUp = new Map<string, Promise<boolean>>();
  readonly #disks = new Map(
    VOTERS.map((id) => [id, storage.MemoryStorage.create()]),
  );
  #incarnation = 1;

  static async start(): Promise<Fleet> {
    const fleet = new Fleet();
    for (const id of HOSTS) await fleet.startHost(id);
    await fleet.run(2_000);
    return fleet;
  }

  async startHost(self: string): Promise<void> {
    const host = control.Control.create({
      self,
      incarnation: this.#incarnation++,
      voters: VOTERS,
      clock: this.clock,
      random: runtime.createRandom(this.#incarnation),
      transport: {
        send: (envelope) => this.#send(envelope),
        redial: () => {},
      },
      storage: this.#disks.get(self),
      metrics: telemetry.noMetrics,
      logger: telemetry.noLogger,
      first: [editOf("first", { row: "account/seed", version: 0, value: 5 })],
      onFailure: (failure) => {
        throw failure;
      },
    });
    this.hosts.set(self, host);
    await host.start();
    this.caughtUp.set(self, host.catchUp());
  }

  /** Stops a host without a word, as a kill does. */
  kill(id: string): void {
    this.hosts.get(id)!.stop();
    this.hosts.delete(id);
    const disk = this.#disks.get(id);
    if (disk !== undefined) this.#disks.set(id, disk.crash());
  }

  get leader(): string {
    return [...this.hosts].find(([, host]) => host.leaseHeld())![0];
  }

  revisions(): number[] {
    return [...this.hosts.values()].map((host) => host.view().revision);
  }

  /** Lets time pass; disks write between the milliseconds. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed++) {
      this.clock.advance(1);
      await settle();
    }
  }

  /** Waits for `promise` while time passes. */
  async until<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => done = true);
    while (!done) await this.run(10);
    return promise;
  }

  #send(envelope: runtime.Envelope): void {
    const { from, to } = envelope;
    this.clock.after(1, () => {
      if (from !== to && (this.cut.has(from) || this.cut.has(to))) return;
      this.hosts.get(to)?.receive(envelope);
    });
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function editOf(
  operation: string,
  change: { row: string; version: number; value: number },
): schema.Edit {
  const changes: schema.Edit["changes"] = [{ ...change, column: "weight" }];
  return { operation, actor: "planner", changes };
}

test("an edit through any host comes into force on all", async (t) => {
  const fleet = await Fleet.start();
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 1));
  const edit = editOf("e1", { row: "account/x", version: 0, value: 3 });
  const answer = await fleet.until(fleet.hosts.get("f")!.edit(edit));
  t.deepEqual(answer, { type: "accepted", revision: 2 });
  await fleet.run(2_000);
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 2));
});

test("a resend through another leader gets the first answer", async (t) => {
  const fleet = await Fleet.start();
  const edit = editOf("e1", { row: "account/x", version: 0, value: 3 });
  const first = await fleet.until(fleet.hosts.get("d")!.edit(edit));
  fleet.kill(fleet.leader);
  const second = await fleet.until(fleet.hosts.get("e")!.edit(edit));
  t.deepEqual(second, first);
});

test("a host cut off refuses edits as not run and keeps its table", async (t) => {
  const fleet = await Fleet.start();
  fleet.cut.add("e");
  const edit = editOf("e1", { row: "account/x", version: 0, value: 3 });
  const answer = await fleet.until(fleet.hosts.get("e")!.edit(edit));
  t.is(answer.type, "unavailable");
  t.is(fleet.hosts.get("e")!.view().revision, 1);
});

test("all hosts restarted at once keep the accepted edits", async (t) => {
  const fleet = await Fleet.start();
  const edit = editOf("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.until(fleet.hosts.get("d")!.edit(edit));
  HOSTS.forEach((id) => fleet.kill(id));
  for (const id of HOSTS) await fleet.startHost(id);
  await fleet.run(3_000);
  t.deepEqual(fleet.revisions(), HOSTS.map(() => 2));
  t.is(fleet.hosts.get("f")!.view().value("account/x", "weight"), 3);
});

function claimOf(request: string): Parameters<
  control.ClaimKeeper["claim"]
>[0] {
  return {
    account: "club",
    key: "entry-1",
    fingerprint: "f",
    request,
    remaining: 5_000,
  };
}

test("a key claimed at one host is not granted at another", async (t) => {
  const fleet = await Fleet.start();
  const [d, e] = [fleet.hosts.get("d")!, fleet.hosts.get("e")!];
  const first = await fleet.until(d.claims.claim(claimOf("r1")));
  t.is(first.type, "granted");
  const second = await fleet.until(e.claims.claim(claimOf("r2")));
  t.is(second.type, "in-progress");
  const answer = { status: 200, headers: {}, body: "done" };
  d.claims.settle(claimOf("r1"), answer);
  await fleet.run(100);
  const third = await fleet.until(e.claims.claim(claimOf("r3")));
  t.deepEqual(third, { type: "answered", answer });
});

test("a claim of a host that restarted is unknown, never run again", async (t) => {
  const fleet = await Fleet.start();
  await fleet.until(fleet.hosts.get("d")!.claims.claim(claimOf("r1")));
  fleet.kill("d");
  await fleet.startHost("d");
  await fleet.run(1_000);
  const again = await fleet.until(
    fleet.hosts.get("d")!.claims.claim(claimOf("r2")),
  );
  t.like(again, { type: "refused", outcome: "unknown" });
});

test("a restarted voter is not in force before it has caught up", async (t) => {
  const fleet = await Fleet.start();
  const voter = VOTERS.find((id) => id !== fleet.leader)!;
  fleet.kill(voter);
  const edit = editOf("e1", { row: "account/x", version: 0, value: 3 });
  await fleet.until(fleet.hosts.get("d")!.edit(edit));
  await fleet.startHost(voter);
  t.true(await fleet.until(fleet.caughtUp.get(voter)!));
  t.is(fleet.hosts.get(voter)!.view().revision, 2);
});

test("a host that starts without a quorum serves with what it has", async (t) => {
  const fleet = await Fleet.start();
  const voter = VOTERS.find((id) => id !== fleet.leader)!;
  fleet.kill(voter);
  fleet.cut.add(voter);
  await fleet.startHost(voter);
  t.false(await fleet.until(fleet.caughtUp.get(voter)!));
});
