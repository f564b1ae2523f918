import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import * as log from "./mod.ts";

/** Time after which a replica that started at 0 may vote. */
const VOTING_ALLOWED_AT = log.DEFAULT_TIMING.minElectionTimeout + 100;

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

test("a step leaves the previous replica value unchanged", (t) => {
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

test("acknowledges entries only once they are durable", (t) => {
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

test("sends a vote only once it is durable, and grants one per term", (t) => {
  const replica = createReplica();
  const first = replica.step(createRequest(), VOTING_ALLOWED_AT);
  t.deepEqual(sent(first.effects), []);
  const { write, record } = first.effects.findLast((effect) =>
    effect.type === "persist"
  ) as Extract<log.Effect, { type: "persist" }>;
  t.like(record, { type: "vote", term: 2, vote: "b~1" });
  const synced = first.replica.step(
    { type: "synced", write },
    VOTING_ALLOWED_AT + 1,
  );
  t.like(sent(synced.effects)[0], { type: "vote", granted: true });
  const other = { ...createRequest(), host: "c" };
  const second = synced.replica.step(other, VOTING_ALLOWED_AT + 2);
  t.like(sent(second.effects)[0], { type: "vote", granted: false });
});

test("denies a pre-vote to a candidate whose log lacks entries", (t) => {
  const replica = createReplica();
  const event = createRequest({ lastIndex: 0, lastTerm: 0, pre: true });
  const { effects } = replica.step(event, VOTING_ALLOWED_AT);
  t.like(sent(effects)[0], { granted: false, pre: true });
});

test("ignores candidates just after its start and while a leader is active", (t) => {
  const replica = createReplica();
  const { minElectionTimeout } = log.DEFAULT_TIMING;
  const decision = {
    candidate: "b",
    term: 2,
    isPreVote: false,
    outcome: "leader-heard" as const,
    leaderHeardMs: minElectionTimeout - 1,
  };
  const onlyReported = [{ type: "vote-decision" as const, decision }];
  const early = replica.step(createRequest(), minElectionTimeout - 1);
  t.deepEqual(early.effects, onlyReported);
  const heard = replica.step(createAppend([]), minElectionTimeout).replica;
  const last = 2 * minElectionTimeout - 1;
  const { effects, replica: next } = heard.step(createRequest(), last);
  t.deepEqual(effects, onlyReported);
  t.is(next.state.term, 1);
});

test("reports how each vote request was answered", (t) => {
  const replica = createReplica();
  const outcomes = [
    createRequest({ pre: true }),
    createRequest({ term: 1, pre: true }),
    createRequest({ lastIndex: 0, lastTerm: 0 }),
    createRequest(),
    { ...createRequest(), host: "c" },
    createRequest({ term: 1 }),
  ];
  let current = replica;
  const reported = outcomes.map((request) => {
    const { replica: next, effects } = current.step(request, VOTING_ALLOWED_AT);
    current = next;
    return effects.flatMap((effect) =>
      effect.type === "vote-decision" ? [effect.decision.outcome] : []
    );
  });
  t.deepEqual(reported, [
    ["granted"],
    ["term-outdated"],
    ["log-behind"],
    ["granted"],
    ["voted-for-another"],
    ["term-outdated"],
  ]);
});

test("ignores messages to an earlier incarnation of its host's replica", (t) => {
  const replica = createReplica();
  const event = createRequest({ to: "0" });
  const { effects, replica: next } = replica.step(event, VOTING_ALLOWED_AT);
  t.deepEqual(effects, []);
  t.is(next.state.vote, undefined);
});

test("replaces entries that conflict with the leader's", (t) => {
  const replica = createReplica();
  const wrong = [{ index: 2, term: 1 }, { index: 3, term: 1 }];
  const { replica: next } = replica.step(createAppend(wrong), 10);
  const event = createAppend([{ index: 2, term: 2 }]);
  const body = { ...event.body, term: 2 };
  const { replica: last } = next.step({ ...event, body }, 20);
  t.deepEqual(last.state.log.last, { index: 2, term: 2 });
});

test("reports the last possible match when entries are missing", (t) => {
  const replica = createReplica();
  const event = createAppend([{ index: 9, term: 1 }], 8);
  const { effects } = replica.step(event, 10);
  t.like(sent(effects)[0], { type: "appended", ok: false, match: 1 });
});

/** Creates a replica that has won an election, in the term after its stored
 * one. */
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

test("a lease starts when the answered message was sent", (t) => {
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

test("commits entries of earlier terms only with one of its own term", (t) => {
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

test("bootstraps a log with the votes of all configured hosts", (t) => {
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

test("takes large snapshots less often than small ones", (t) => {
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

test("retries an election after at least half the minimum election timeout", (t) => {
  const {
    minElectionTimeout,
    maxElectionTimeout,
  } = log.DEFAULT_TIMING;
  let replica = createReplica();
  const stood = replica.wakeAt;
  ({ replica } = replica.step({ type: "tick" }, stood));
  t.is(replica.state.role, "pre-candidate");
  const wait = replica.wakeAt - stood;
  t.true(wait >= minElectionTimeout / 2);
  t.true(wait <= maxElectionTimeout - minElectionTimeout / 2);
});

/** Makes a replica a candidate whose own vote is durable. */
function createCandidate(): log.Replica {
  let replica = createReplica();
  ({ replica } = replica.step({ type: "tick" }, replica.wakeAt));
  const preVote = {
    type: "vote" as const,
    from: "1",
    to: "1",
    term: 2,
    granted: true,
    pre: true,
  };
  const event = { type: "message" as const, host: "b", body: preVote };
  ({ replica } = replica.step(event, VOTING_ALLOWED_AT + 300));
  const write = replica.state.written;
  return replica.step({ type: "synced", write }, VOTING_ALLOWED_AT + 310)
    .replica;
}

// Guards against a candidate that cannot win and keeps others from trying:
// without the limit it asked the voters that it still reached for ever.
test("a candidate asks for votes once more, then starts a new pre-vote", (t) => {
  let replica = createCandidate();
  t.is(replica.state.role, "candidate");
  let step = replica.step({ type: "tick" }, replica.wakeAt);
  t.like(sent(step.effects)[0], { type: "vote-request", term: 2 });
  t.is(step.replica.state.role, "candidate");
  replica = step.replica;
  step = replica.step({ type: "tick" }, replica.wakeAt);
  t.like(sent(step.effects)[0], { type: "vote-request", term: 3, pre: true });
  t.is(step.replica.state.role, "pre-candidate");
});

test("a candidate that was denied a vote starts a new pre-vote", (t) => {
  let replica = createCandidate();
  const denial = {
    type: "vote" as const,
    from: "1",
    to: "1",
    term: 2,
    granted: false,
  };
  const event = { type: "message" as const, host: "b", body: denial };
  ({ replica } = replica.step(event, VOTING_ALLOWED_AT + 320));
  ({ replica } = replica.step({ type: "tick" }, replica.wakeAt));
  t.is(replica.state.role, "pre-candidate");
});
