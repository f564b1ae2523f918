import test from "ava";
import type * as command from "../../schema/command_types.ts";
import type * as schema from "../../schema/control_types.ts";
import * as runtime from "../../runtime/mod.ts";
import * as table from "../table/mod.ts";
import * as watch from "./mod.ts";

const VOTERS = ["r1", "r2", "r3"];
const TIMEOUT = 3000;

function createCommand(id: string, version = 0): command.EditCommand {
  const change = { row: "account/a", column: "weight", version, value: 2 };
  const edit = { operation: id, actor: "an", changes: [change] };
  return { type: "edit", id, edit };
}

function propose(id = "c1"): watch.ForwarderStep {
  const command = createCommand(id);
  const event = { type: "propose" as const, command, timeout: TIMEOUT };
  return watch.Forwarder.create(VOTERS).step(event, 0);
}

function answer(
  from: string,
  status: schema.Result["status"],
  rest: Partial<schema.Result> = {},
): watch.ForwarderEvent {
  const body = {
    type: "result" as const,
    id: "c1",
    attempt: 1,
    status,
    ...rest,
  };
  return { type: "message", from, body };
}

function failureOf(effects: watch.ForwarderEffect[]): string | undefined {
  const fail = effects.find((effect) => effect.type === "fail");
  return fail?.failure;
}

test("resends to the leader that a refusal names, with the same id", (t) => {
  const { forwarder } = propose();
  const hint = answer("r1", "not-leader", { leader: "r3" });
  const { effects } = forwarder.step(hint, 1);
  t.like(effects[0], { to: "r3", body: { attempt: 2, command: { id: "c1" } } });
});

test("fails with no-quorum only if every attempt was refused", (t) => {
  const { forwarder } = propose();
  const refused = forwarder.step(answer("r1", "no-quorum"), 1).forwarder;
  const end = { type: "tick" as const };
  t.is(failureOf(refused.step(end, TIMEOUT).effects), "no-quorum");
  t.is(failureOf(forwarder.step(end, TIMEOUT).effects), "unknown");
});

// The first attempt may have been applied although the second was refused.
test("the outcome is unknown if an attempt before a refused one has no result", (t) => {
  const resent = propose().forwarder.step({ type: "tick" }, 500).forwarder;
  const refusal = answer("r2", "no-quorum", { attempt: 2 });
  const { forwarder } = resent.step(refusal, 501);
  const { effects } = forwarder.step({ type: "tick" }, TIMEOUT);
  t.is(failureOf(effects), "unknown");
});

test("a command server ignores a duplicate of an attempt", async (t) => {
  const sent: schema.Result[] = [];
  let proposed = 0;
  const server = watch.CommandServer.create({
    propose: () => Promise.resolve({ type: "accepted", revision: ++proposed }),
    commandTime: () => 7,
    send: (_to, body) => sent.push(body),
  });
  const command = createCommand("c1");
  const forward = { type: "forward" as const, attempt: 1, command };
  await Promise.all([
    server.receive("h", forward),
    server.receive("h", forward),
  ]);
  t.is(proposed, 1);
  t.is(sent.length, 1);
  t.is(sent[0].status, "applied");
});

/** Simulates voters with one state machine that refuse some commands, and a
 * network that loses and duplicates messages. Returns whether the command had
 * the reported effect; a failure `unknown` is evaluated as `unknownAs`. */
async function reportsTruthfully(
  seed: number,
  unknownAs: string,
): Promise<boolean> {
  const random = runtime.createRandom(seed);
  const machine = table.createStateMachine();
  let state = machine.empty;
  let applied = 0;
  const inbox: schema.Result[] = [];
  const servers = new Map(VOTERS.map((id) => [
    id,
    watch.CommandServer.create({
      propose(command) {
        const roll = random.next();
        if (roll < 0.3) return Promise.reject({ kind: "not-leader" });
        if (roll < 0.4) return Promise.reject({ kind: "no-quorum" });
        const step = machine.apply(state, command);
        applied += step.state.table.revision - state.table.revision;
        state = step.state;
        if (roll < 0.5) return Promise.reject({ kind: "unknown" });
        return Promise.resolve(step.reply);
      },
      commandTime: () => 0,
      send: (_to, body) => random.next() < 0.15 && inbox.push(body),
    }),
  ]));
  let { forwarder, effects } = propose();
  for (let now = 0; now <= TIMEOUT + 50; now += 50) {
    for (const effect of effects) {
      if (effect.type === "reply") return applied === 1;
      if (effect.type === "fail") {
        const failure = effect.failure === "unknown"
          ? unknownAs
          : effect.failure;
        return failure === "unknown" || applied === 0;
      }
      if (effect.type !== "send" || random.next() < 0.2) continue;
      const copies = random.next() < 0.2 ? 2 : 1;
      for (let copy = 0; copy < copies; copy++) {
        const forward = effect.body as schema.Forward;
        await servers.get(effect.to)!.receive("h", forward);
      }
    }
    effects = [];
    const events: watch.ForwarderEvent[] = inbox.splice(0).map((body) => ({
      type: "message",
      from: "r1",
      body,
    }));
    for (const event of [...events, { type: "tick" as const }]) {
      const step = forwarder.step(event, now);
      forwarder = step.forwarder;
      effects.push(...step.effects);
    }
  }
  // The command has neither a reply nor a failure.
  return false;
}

async function countMisreports(unknownAs: string): Promise<number> {
  let broken = 0;
  for (let seed = 1; seed <= 400; seed++) {
    if (!(await reportsTruthfully(seed, unknownAs))) broken++;
  }
  return broken;
}

test("an edit is applied once if it got a reply, and never if it was refused", async (t) => {
  t.is(await countMisreports("unknown"), 0);
});

test("the check detects a forwarder that reports unknown as no-quorum", async (t) => {
  t.true(await countMisreports("no-quorum") > 0);
});
