import test from "ava";
import * as fc from "fast-check";
import type * as request from "../request/mod.ts";
import * as fairQueue from "./fair_queue.ts";
import * as flowQueue from "./flow_queue.ts";
import * as naiveFairQueue from "./naive_fair_queue.ts";

const policies: request.Policies = new Map([
  ["account/large", { weight: 3 }],
  ["account/small", { weight: 1 }],
  ["kind/plan", { weight: 2 }],
]);

function createItem(fields: Partial<flowQueue.Item> = {}): flowQueue.Item {
  return {
    id: "r",
    account: "large",
    kind: "plan",
    arrived: 0,
    deadline: 1000,
    expires: 1000,
    work: 10,
    ...fields,
  };
}

test("serves flows by weight and the items of each by deadline", (t) => {
  const queue = fairQueue.FairQueue.create(policies);
  for (let i = 0; i < 40; i++) {
    queue.push(createItem({ id: `l${i}`, deadline: 1000 - i }));
    queue.push(createItem({ id: `s${i}`, account: "small" }));
  }
  const served = Array.from({ length: 40 }, () => queue.pop()?.id ?? "");
  t.is(served.filter((id) => id.startsWith("l")).length, 30);
  t.deepEqual(served.filter((id) => id.startsWith("l")).slice(0, 2), [
    "l39",
    "l38",
  ]);
});

test("a retried item keeps its place and its flow is charged again", (t) => {
  const queue = fairQueue.FairQueue.create();
  const [a, b] = ["a", "b"];
  queue.push(createItem({ id: "a1", account: a }));
  for (let i = 0; i < 4; i++) {
    queue.push(createItem({ id: `a2${i}`, account: a }));
    queue.push(createItem({ id: `b${i}`, account: b }));
  }
  const first = queue.pop();
  t.is(first?.id, "a1");
  t.is(queue.pop()?.id, "b0");
  queue.push(first!);
  t.deepEqual(
    Array.from({ length: 4 }, () => queue.pop()?.id),
    ["a1", "b1", "a20", "b2"],
  );
});

test("within an account, cheap requests get more slots", (t) => {
  const queue = fairQueue.FairQueue.create(policies);
  for (let i = 0; i < 20; i++) {
    queue.push(createItem({ id: `p${i}`, work: 20 }));
    queue.push(createItem({ id: `q${i}`, kind: "question", work: 10 }));
  }
  const served = Array.from({ length: 15 }, () => queue.pop()?.kind);
  t.is(served.filter((kind) => kind === "question").length, 12);
});

test("an account's backlog of one kind takes no share from others", (t) => {
  const queue = fairQueue.FairQueue.create();
  for (let i = 0; i < 90; i++) queue.push(createItem({ id: `a${i}` }));
  for (let i = 0; i < 10; i++) {
    for (const kind of ["plan", "question", "summary"]) {
      queue.push(createItem({ id: `b${kind}${i}`, account: "b", kind }));
    }
  }
  const served = Array.from({ length: 40 }, () => queue.pop()?.account);
  t.is(served.filter((account) => account === "b").length, 20);
});

test("an item put back keeps its place and its flow is not charged", (t) => {
  const queue = fairQueue.FairQueue.create();
  for (let i = 0; i < 4; i++) {
    queue.push(createItem({ id: `a${i}`, account: "a" }));
    queue.push(createItem({ id: `b${i}`, account: "b" }));
  }
  for (let i = 0; i < 5; i++) queue.putBack(queue.pop()!);
  const served = Array.from({ length: 6 }, () => queue.pop()?.id);
  t.deepEqual(served, ["a0", "b0", "a1", "b1", "a2", "b2"]);
});

test("an item with slack is deferred in favour of shorter ones", (t) => {
  const queue = fairQueue.FairQueue.create(policies);
  const long = { deadline: 1000, expires: 1000 };
  for (const id of ["l1", "l2"]) queue.push(createItem({ id, ...long }));
  const short = { account: "small", kind: "question", expires: 400 };
  for (const id of ["s1", "s2"]) queue.push(createItem({ id, ...short }));
  t.is(queue.pop(100)?.id, "s1");
  t.is(queue.pop(900)?.id, "l1");
  t.is(queue.pop(100)?.id, "s2");
  t.is(queue.pop(100)?.id, "l2");
});

test("an account whose items were deferred keeps its share", (t) => {
  const queue = fairQueue.FairQueue.create();
  for (let i = 0; i < 20; i++) {
    queue.push(createItem({ id: `l${i}` }));
    const short = { account: "small", kind: "question", expires: 400 };
    queue.push(createItem({ id: `s${i}`, ...short }));
  }
  for (let i = 0; i < 8; i++) t.is(queue.pop(0)?.account, "small");
  for (let i = 0; i < 8; i++) t.is(queue.pop(900)?.account, "large");
  const served = Array.from({ length: 8 }, () => queue.pop(900)?.account);
  t.is(served.filter((account) => account === "large").length, 4);
});

test("an item put back can still be deferred", (t) => {
  const queue = fairQueue.FairQueue.create();
  const short = { account: "small", kind: "question", expires: 400 };
  queue.push(createItem({ id: "l" }));
  for (const id of ["s1", "s2", "s3"]) queue.push(createItem({ id, ...short }));
  for (let i = 0; i < 5; i++) queue.putBack(queue.pop(0)!);
  const served = Array.from({ length: 4 }, () => queue.pop(0)?.id);
  t.deepEqual(served, ["s1", "s2", "s3", "l"]);
});

test("an idle flow accumulates no credit", (t) => {
  const queue = fairQueue.FairQueue.create();
  for (let i = 0; i < 100; i++) queue.push(createItem({ id: `a${i}` }));
  for (let i = 0; i < 50; i++) queue.pop();
  for (let i = 0; i < 50; i++) {
    queue.push(createItem({ id: `b${i}`, account: "late" }));
  }
  const served = Array.from({ length: 20 }, () => queue.pop()?.account);
  t.is(served.filter((account) => account === "late").length, 10);
});

test("sheds the latest deadline of the flow with the lowest weight", (t) => {
  const queue = fairQueue.FairQueue.create(policies);
  queue.push(createItem({ id: "l" }));
  queue.push(createItem({ id: "s1", account: "small", deadline: 5 }));
  queue.push(createItem({ id: "s2", account: "small", deadline: 9 }));
  t.deepEqual([queue.shed()?.id, queue.shed()?.id, queue.shed()?.id], [
    "s2",
    "s1",
    "l",
  ]);
});

test("new weights apply to queued items", (t) => {
  const queue = fairQueue.FairQueue.create(policies);
  for (let i = 0; i < 20; i++) {
    queue.push(createItem({ id: `l${i}` }));
    queue.push(createItem({ id: `s${i}`, account: "small" }));
  }
  queue.setPolicies(new Map([["account/small", { weight: 9 }]]));
  const served = Array.from({ length: 10 }, () => queue.pop()?.account);
  t.is(served.filter((account) => account === "small").length, 9);
});

type Command =
  | {
    type: "push";
    account: string;
    kind: string;
    deadline: number;
    work: number;
  }
  | { type: "pop"; timed: boolean }
  | { type: "retry"; pick: number }
  | { type: "expire" }
  | { type: "remove"; pick: number }
  | { type: "shed" };

const command: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("push" as const),
      account: fc.constantFrom("large", "small", "other"),
      kind: fc.constantFrom("plan", "question"),
      deadline: fc.integer({ min: 1, max: 60 }),
      work: fc.integer({ min: 1, max: 20 }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("pop" as const),
      timed: fc.boolean(),
    }),
  },
  fc.record({ type: fc.constant("retry" as const), pick: fc.nat(9) }),
  fc.record({ type: fc.constant("remove" as const), pick: fc.nat(40) }),
  fc.constant({ type: "expire" as const }),
  fc.constant({ type: "shed" as const }),
);

/** Runs the commands on a queue; returns the ids that each one removed. */
function run(
  queue: Pick<
    fairQueue.FairQueue,
    "push" | "pop" | "expire" | "shed" | "remove"
  >,
  commands: readonly Command[],
): string[] {
  const popped: flowQueue.Item[] = [];
  const trace: string[] = [];
  commands.forEach((step, now) => {
    const handlers = {
      push: () => {
        if (step.type !== "push") return [];
        const deadline = now + step.deadline;
        const fields = { arrived: now, deadline, expires: deadline };
        queue.push(createItem({ ...step, ...fields, id: `r${now}` }));
        return [];
      },
      pop: () => {
        const timed = step.type === "pop" && step.timed;
        const item = queue.pop(timed ? now : undefined);
        return [item].filter((item) => item !== undefined);
      },
      retry: () => {
        const pick = step.type === "retry" ? step.pick : 0;
        const [item] = popped.splice(pick % (popped.length || 1), 1);
        if (item !== undefined) queue.push(item);
        return [];
      },
      remove: () => {
        const pick = step.type === "remove" ? step.pick : 0;
        return [queue.remove(`r${pick}`)].filter((item) => item !== undefined);
      },
      expire: () =>
        queue.expire(now).sort((a, b) => flowQueue.isBefore(a, b) ? -1 : 1),
      shed: () => [queue.shed()].filter((item) => item !== undefined),
    };
    const items = handlers[step.type]();
    if (step.type === "pop") popped.push(...items);
    trace.push(`${step.type} ${items.map((item) => item.id).join()}`);
  });
  return trace;
}

test("makes the same decisions as the reference implementation", (t) => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 120 }), (commands) => {
      const fast = run(fairQueue.FairQueue.create(policies), commands);
      const slow = run(new naiveFairQueue.NaiveFairQueue(policies), commands);
      t.deepEqual(fast, slow);
    }),
    { seed: 4, numRuns: 400 },
  );
});

test("removes idle flows", (t) => {
  const queue = fairQueue.FairQueue.create();
  for (let i = 0; i < 1000; i++) {
    queue.push(createItem({ id: `${i}`, account: `a${i}` }));
    queue.pop();
  }
  t.is(queue.toJSON().length, 0);
  t.is(queue.work, 0);
});
