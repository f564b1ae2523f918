/** Drawn schedules of hosts that lose and regain their paths to endpoints, in
 * virtual time: each host has a view of its own, and calls endpoints as the
 * gateway does, on open connections where these may be used.
 *
 * Once nothing has changed for `STABLE_MS`, a call succeeds if this host or a
 * ready one reaches the endpoint, directly where it can; otherwise it fails, and
 * at once after an earlier call has failed.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as worlds from "./world.ts";

/** Length of a schedule. */
const SPAN_MS = 60_000;
/** Time after the last change from which paths must be right: the bound of the
 * time in which a host has to find a path. */
const STABLE_MS = 3000;
/** Time in which a call fails that the host knows no path for. */
const AT_ONCE_MS = 50;
/** Time after a failed call in which a host finds out that there is no path: the
 * call may have been on a dead connection. */
const DISCOVERY_MS = 1000;
/** Longest pause between changes. */
const MAX_PAUSE_MS = 9000;
/** Pause between two calls of a busy host, and of one nearly at rest. */
const BUSY_PAUSE_MS = 60;
const RESTING_PAUSE_MS = 2500;
/** Virtual time of one step. */
const STEP_MS = 5;

/** Parameters of a schedule. */
export interface Options {
  readonly seed: number;
  /** Ways to break the rule, to show that it is noticed. */
  readonly breakage?: "no-relays";
}

/** What a schedule has shown. */
export interface Seen {
  /** Calls while nothing had changed for `STABLE_MS`. */
  readonly judged: number;
  readonly relayed: number;
  readonly hopeless: number;
  readonly violations: number;
}

/** Violations allowed in a schedule, beside a part of the judged calls: hosts
 * find a path by trying, also where few of them have one. */
const MAX_VIOLATION_COUNT = 2;
const MAX_VIOLATION_RATIO = 1 / 50;

/** Plays a schedule; rejects if too many calls took a wrong path. */
export async function runSchedule(
  { seed, breakage }: Options,
): Promise<Seen> {
  const random = runtime.createRandom(seed);
  const clock = new runtime.FakeClock();
  const world = worlds.World.create({
    clock,
    random,
    hosts: 2 + random.below(7),
    endpoints: 2 + random.below(8),
    hasRelays: breakage === undefined,
  });
  const seen = { judged: 0, relayed: 0, hopeless: 0 };
  const violations: string[] = [];
  let changedAt = 0;
  let nextChange = 1000;
  const firstFailures = new Map<string, number>();
  const call = async (host: number) => {
    const endpoint = random.below(world.endpointCount);
    const startedAt = clock.now();
    const before = changedAt;
    const key = `${host} ${endpoint}`;
    const outcome = await world.call(host, endpoint);
    const failedAt = firstFailures.get(key) ?? Infinity;
    if (outcome === "none" && failedAt === Infinity) {
      firstFailures.set(key, clock.now());
    }
    const isJudged = startedAt - before >= STABLE_MS && changedAt === before;
    if (!isJudged) return;
    const expected = world.expectedPath(host, endpoint);
    seen.judged++;
    if (expected === "relayed") seen.relayed++;
    if (expected === "none") seen.hopeless++;
    const ms = clock.now() - startedAt;
    const isLate = expected === "none" && ms > AT_ONCE_MS &&
      startedAt - failedAt > DISCOVERY_MS;
    // Connections that are open may live on where new ones are refused.
    const isServed = outcome === "direct" ||
      (outcome === "relayed" && expected !== "direct");
    if (isServed || (expected === "none" && !isLate)) return;
    violations.push(
      `seed ${seed}, ${startedAt} ms: host ${host} called endpoint ` +
        `${endpoint}: ${outcome} after ${ms} ms, expected ${expected}; ` +
        world.describe(),
    );
  };
  const nextCalls = world.hosts.map(() => random.next() * 1000);
  while (clock.now() < SPAN_MS) {
    if (clock.now() >= nextChange) {
      world.change();
      firstFailures.clear();
      changedAt = clock.now();
      nextChange = changedAt + random.next() * MAX_PAUSE_MS;
    }
    for (const host of world.hosts) {
      if (clock.now() < nextCalls[host] || !world.isRunning(host)) continue;
      void call(host);
      const pause = host % 3 === 2 ? RESTING_PAUSE_MS : BUSY_PAUSE_MS;
      nextCalls[host] = clock.now() + pause * (0.5 + random.next());
    }
    clock.advance(STEP_MS);
    await settle();
  }
  const allowed = MAX_VIOLATION_COUNT + MAX_VIOLATION_RATIO * seen.judged;
  if (violations.length > allowed) {
    throw new Error(`${violations.length} violations; ${violations[0]}`);
  }
  return { ...seen, violations: violations.length };
}

/** Lets the promises of a step settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}
