import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import * as log from "./mod.ts";

/** A time at which a replica that started at 0 may vote. */
const AFTER = log.DEFAULT_TIMING.minElectionTimeout + 100;

const VOTERS = ["a~1", "b~1", "c~1"];

function createReplica(options: Partial<log.ReplicaOptions> = {}): log.Replica {
  return log.Replica.create({
    id: "a~1",
    hosts: ["a", "b", "c"],
    random: runtime.createRandom(1),
    now: 0,
    durable: {
      term: 1,
      entries: [
        { index: 1, term: 1, members: { voters: VOTERS, learners: [] } },
      ],
    },
    ...options,
  });
}

function createAppend(entries: log.Durable["entries"], previous = 1) {
  const body = {
    type: "append" as const,
    from: "1",
    to: "1",
    term: 1,
    previous,
    previousTerm: 1,
    entries: [...entries],
    commit: 1,
    at: 5,
  };
  return { type: "message" as const, host: "b", body };
}

function createRequest(change: object = {}) {
  const body = {
    type: "vote-request" as const,
    from: "1",
    to: "1",
    term: 2,
    lastIndex: 1,
    lastTerm: 1,
    ...change,
  };
  return { type: "message" as const, host: "b", body };
}

function sent(effects: readonly log.Effect[]): log.Message[] {
  return effects.flatMap((effect) =>
    effect.type === "send" ? [effect.body] : []
  );
}

test("leaves the replica as it is", (t) => {
  const replica = createReplica();
  const before = JSON.stringify(replica.state);
  const { replica: next } = replica.step(
    createAppend([{ index: 2, term: 1 }]),
    10,
  );
  t.is(JSON.stringify(replica.state), before);
  t.is(next.state.log.last.index, 2);
  t.true(Object.isFrozen(next.state));
});

test("acknowledges entries once they are durable", (t) => {
  const replica = createReplica();
  const event = createAppend([{ index: 2, term: 1 }]);
  const first = replica.step(event, 10);
  t.deepEqual(sent(first.effects), []);
  const again = first.replica.step(event, 11);
  t.deepEqual(sent(again.effects), []);
  const after = again.replica.step({ type: "synced", write: 1 }, 12);
  t.deepEqual(sent(after.effects).map(({ type }) => type), [
    "appended",
    "appended",
  ]);
});

test("votes once it is durable, and once in a term", (t) => {
  const replica = createReplica();
  const first = replica.step(createRequest(), AFTER);
  t.deepEqual(sent(first.effects), []);
  const { write, record } = first.effects.findLast((effect) =>
    effect.type === "persist"
  ) as Extract<log.Effect, { type: "persist" }>;
  t.like(record, { type: "vote", term: 2, vote: "b~1" });
  const synced = first.replica.step({ type: "synced", write }, AFTER + 1);
  t.like(sent(synced.effects)[0], { type: "vote", granted: true });
  const other = { ...createRequest(), host: "c" };
  const second = synced.replica.step(other, AFTER + 2);
  t.like(sent(second.effects)[0], { type: "vote", granted: false });
});

test("gives no vote to a log that lacks entries", (t) => {
  const replica = createReplica();
  const event = createRequest({ lastIndex: 0, lastTerm: 0, pre: true });
  const { effects } = replica.step(event, AFTER);
  t.like(sent(effects)[0], { granted: false, pre: true });
});

test("heeds no candidate while it hears a leader or has just started", (t) => {
  const replica = createReplica();
  const { minElectionTimeout: electionLeast } = log.DEFAULT_TIMING;
  const early = replica.step(createRequest(), electionLeast - 1);
  t.deepEqual(early.effects, []);
  const heard = replica.step(createAppend([]), electionLeast).replica;
  const last = 2 * electionLeast - 1;
  const { effects, replica: next } = heard.step(createRequest(), last);
  t.deepEqual(effects, []);
  t.is(next.state.term, 1);
});

test("ignores messages to an earlier folder of its host", (t) => {
  const replica = createReplica();
  const event = createRequest({ to: "0" });
  const { effects, replica: next } = replica.step(event, AFTER);
  t.deepEqual(effects, []);
  t.is(next.state.vote, undefined);
});

test("replaces entries that contradict the leader's", (t) => {
  const replica = createReplica();
  const wrong = [{ index: 2, term: 1 }, { index: 3, term: 1 }];
  const { replica: next } = replica.step(createAppend(wrong), 10);
  const event = createAppend([{ index: 2, term: 2 }]);
  const body = { ...event.body, term: 2 };
  const { replica: last } = next.step({ ...event, body }, 20);
  t.deepEqual(last.state.log.last, { index: 2, term: 2 });
});

test("says where to try next when entries are missing", (t) => {
  const replica = createReplica();
  const event = createAppend([{ index: 9, term: 1 }], 8);
  const { effects } = replica.step(event, 10);
  t.like(sent(effects)[0], { type: "appended", ok: false, match: 1 });
});

/** A replica that has won an election; its term is one above its last. */
function createLeader(options: Partial<log.ReplicaOptions> = {}): log.Replica {
  let replica = createReplica(options);
  const term = replica.state.term + 1;
  const now = replica.wakeAt;
  const answer = (pre?: true): log.Event => ({
    type: "message",
    host: "b",
    body: { type: "vote", from: "1", to: "1", granted: true, term, pre },
  });
  const events: log.Event[] = [
    { type: "tick" },
    answer(true),
    { type: "synced", write: 1 },
    answer(),
  ];
  for (const event of events) ({ replica } = replica.step(event, now));
  return replica;
}

test("holds a lease from the time of the message that was answered", (t) => {
  let replica = createLeader();
  const at = replica.state.electedAt;
  t.is(replica.state.role, "leader");
  t.false(replica.leaseHeld(at));
  const body = { from: "1", to: "1", term: 2, at };
  const reply = { type: "heartbeat-reply" as const, ...body };
  const event = { type: "message" as const, host: "b", body: reply };
  ({ replica } = replica.step(event, at + 100));
  const { lease } = log.DEFAULT_TIMING;
  const end = at + lease;
  t.is(replica.leaseUntil, end);
  t.like(log.dump(replica, end - 40), { role: "leader", term: 2, lease: 40 });
  t.true(replica.leaseHeld(end - 1));
  t.false(replica.leaseHeld(end));
});

test("commits entries of earlier terms by one of its own", (t) => {
  const members = { voters: VOTERS, learners: [] };
  const entries = [{ index: 1, term: 1, members }, { index: 2, term: 2 }];
  const replica = createLeader({ durable: { term: 2, entries } });
  const now = replica.state.electedAt;
  const answer = (match: number) => {
    const reply = { ok: true, previous: 1, match, at: now, term: 3 };
    const body = { type: "appended" as const, from: "1", to: "1", ...reply };
    return { type: "message" as const, host: "b", body };
  };
  const { replica: synced } = replica.step({ type: "synced", write: 2 }, now);
  const early = synced.step(answer(2), now);
  t.is(early.replica.state.commit, 0);
  const late = early.replica.step(answer(3), now);
  t.is(late.replica.state.commit, 3);
  const applied = late.effects.filter(({ type }) => type === "apply");
  t.is(applied.length, 1);
});

test("founds a fleet with the votes of all named hosts", (t) => {
  let replica = createReplica({ durable: undefined });
  const events: log.Event[] = [{ type: "tick" }];
  const answer = (host: string, body: log.Message) => {
    events.push({ type: "message", host, body });
  };
  const addresses = { from: "1", to: "1" };
  for (const host of ["b", "c"]) {
    answer(host, { ...addresses, type: "probed", empty: true });
  }
  events.push({ type: "synced", write: 1 });
  const vote = { ...addresses, type: "vote" as const, granted: true, term: 1 };
  answer("b", vote);
  for (const event of events) ({ replica } = replica.step(event, 1000));
  t.is(replica.state.role, "candidate");
  const last: log.Event = { type: "message", host: "c", body: vote };
  ({ replica } = replica.step(last, 1000));
  t.is(replica.state.role, "leader");
  t.deepEqual(replica.members.voters, VOTERS);
});

test("takes large snapshots less often", (t) => {
  const sizes = { snapshotInterval: 2, charactersPerEntry: 10 };
  let replica = createReplica({ sizes });
  const asked: number[] = [];
  for (let index = 2; index <= 20; index++) {
    const event = createAppend([{ index, term: 1 }], index - 1);
    event.body.commit = index;
    const step = replica.step(event, index);
    replica = step.replica;
    for (const effect of step.effects) {
      if (effect.type !== "need-snapshot") continue;
      asked.push(effect.index);
      const data = "x".repeat(effect.index * 10);
      const answer = { type: "snapshot" as const, index: effect.index, data };
      ({ replica } = replica.step(answer, index));
    }
  }
  t.deepEqual(asked, [2, 4, 8, 16]);
});

test("tries again sooner than it first stood, and never at once", (t) => {
  const {
    minElectionTimeout: electionLeast,
    maxElectionTimeout: electionMost,
  } = log.DEFAULT_TIMING;
  let replica = createReplica();
  const stood = replica.wakeAt;
  ({ replica } = replica.step({ type: "tick" }, stood));
  t.is(replica.state.role, "pre-candidate");
  const wait = replica.wakeAt - stood;
  t.true(wait >= electionLeast / 2);
  t.true(wait <= electionMost - electionLeast / 2);
});
