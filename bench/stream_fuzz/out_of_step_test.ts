/** A host that is out of step while engines of a new version join: streams that
 * begin at these through another host and are resumed at it.
 * @module */

import test from "ava";
import * as runtime from "../../src/runtime/mod.ts";
import * as networks from "../fuzz_world/network.ts";
import * as hosts from "./hosts.ts";

const CONTROL_HOSTS = ["control-0", "control-1", "control-2"];
const ENGINE_COUNT = 6;
/** Milliseconds for which streams may be resumed. */
const LIFETIME_MS = 8000;
/** Time for which the first version is alone: hosts have seen nothing else for
 * longer than streams may be resumed. */
const ALONE_MS = 2 * LIFETIME_MS;
/** Time from the trouble until engines join. */
const JOIN_DELAY_MS = 100;
/** Time from then until a stream has begun at one of them. */
const BEGIN_DELAY_MS = 700;
/** Times after the trouble begins at which the stream is resumed. */
const RESUMED_AT_MS = [900, 1000, 1200, 1400, 1800, 2400, 3500, 5000, 7000];
/** Longest time until a search has ended. */
const SEARCH_MS = 2000;

type Fleet = ReturnType<typeof createFleet>;

/** Ways in which `late`, or the control hosts, are out of step from a moment
 * on, for a span of milliseconds. */
const TROUBLES: Readonly<
  Record<string, (fleet: Fleet, span: number) => void>
> = {
  "is cut off": (fleet, span) => fleet.cut(fleet.late.name, span),
  "stands still": ({ freeze, late }, span) => freeze(late.clock, span),
  "is cut off beside a control host that stands still later": (fleet, span) => {
    fleet.cut(fleet.late.name, span);
    fleet.later(span, () => fleet.freeze(fleet.controls[0], 1000));
  },
  "stands still beside control hosts that stand still later": (fleet, span) => {
    fleet.freeze(fleet.late.clock, span);
    fleet.later(
      span,
      () => fleet.controls.forEach((each) => fleet.freeze(each, 1000)),
    );
  },
  "syncs from a control host that receives no updates": ({ controls }) =>
    void (controls[0].losesUpdates = true),
  "syncs from a control host that is cut off": (fleet, span) =>
    fleet.cut(fleet.controls[0].name, span),
  "syncs from a control host that stands still": (fleet, span) =>
    fleet.freeze(fleet.controls[0], span),
  "is cut off while all control hosts start again": (fleet, span) => {
    fleet.cut(fleet.late.name, span);
    fleet.later(span - 100, () => {
      fleet.controls.forEach((each) => {
        each.end();
        each.start();
      });
    });
  },
};

/** Two entry hosts before engines of `v1`; `late` syncs from the first control
 * host, to which no engine sends its heartbeats. */
function createFleet(seed: number) {
  const clock = new runtime.FakeClock();
  const random = runtime.createMixedRandom(seed);
  const network = new networks.Network(clock, random, { isOrdered: true });
  const options = { clock, random, network, controlHosts: CONTROL_HOSTS };
  const controls = CONTROL_HOSTS.map((name) =>
    new hosts.ControlHost(name, options)
  );
  controls.forEach((control) => control.start());
  const later = (delay: number, callback: () => void) =>
    void clock.after(delay, callback);
  const beat = (engine: hosts.Engine) => {
    if (engine.endedAt !== Infinity) return;
    engine.sequence++;
    void controls[1 + engine.sequence % 2].report(engine, "ready");
    later(hosts.HEARTBEAT_MS, () => beat(engine));
  };
  const startEngines = (version: string) =>
    Array.from({ length: ENGINE_COUNT }, (_, number) => {
      const id = `${version}/${number}`;
      const life = { id, address: id, version, startedAt: clock.now() };
      const engine = { ...life, endedAt: Infinity, sequence: 0 };
      beat(engine);
      return engine;
    });
  const createEntry = (name: string, seeds: readonly string[]) =>
    new hosts.EntryHost(name, { ...options, controlHosts: seeds }, {
      asks: true,
      trustsOwnView: false,
    });
  return {
    controls,
    late: createEntry("late", CONTROL_HOSTS.slice(0, 1)),
    other: createEntry("other", CONTROL_HOSTS),
    startEngines,
    later,
    cut(name: string, span: number) {
      network.setCut(name, true);
      later(span, () => network.setCut(name, false));
    },
    freeze(host: { freeze(): void; thaw(): void }, span: number) {
      host.freeze();
      later(span, () => host.thaw());
    },
    async run(span: number) {
      const end = clock.now() + span;
      later(span, () => {});
      while (clock.now() < end && clock.step()) {
        for (let turn = 0; turn < 12; turn++) await Promise.resolve();
      }
    },
  };
}

interface Resumption {
  readonly trouble: keyof typeof TROUBLES;
  /** Milliseconds from the beginning of the trouble, which lasts as long. */
  readonly at: number;
  readonly isNamed: boolean;
  readonly version: "v1" | "v2";
}

const STREAM = { attempt: "a", account: "club", route: "plan" };

/** Resumes a stream that began at a version, at the host that is out of step.
 * Returns the version at which it continues, or undefined if it is refused. */
async function resume(
  { trouble, at, isNamed, version }: Resumption,
): Promise<string | undefined> {
  const fleet = createFleet(at);
  fleet.startEngines("v1");
  await fleet.run(ALONE_MS);
  TROUBLES[trouble](fleet, at);
  await fleet.run(JOIN_DELAY_MS);
  const joined = version === "v2" ? fleet.startEngines(version) : [];
  await fleet.run(BEGIN_DELAY_MS);
  fleet.other.client.record({
    stream: STREAM,
    service: hosts.SERVICE,
    version,
    lifetime: LIFETIME_MS,
  });
  joined.forEach((engine) => void (engine.endedAt = 0));
  await fleet.run(at - JOIN_DELAY_MS - BEGIN_DELAY_MS);
  const search = fleet.late.client.find({
    stream: isNamed ? STREAM : undefined,
    services: [hosts.SERVICE],
    lifetime: LIFETIME_MS,
  });
  await fleet.run(SEARCH_MS);
  const finding = await search;
  return finding.type === "found" ? finding.origin.version : undefined;
}

/** Continuations at a wrong version. */
async function findMixed(
  change: Pick<Resumption, "trouble" | "version">,
): Promise<string[]> {
  const mixed: string[] = [];
  for (const at of RESUMED_AT_MS) {
    for (const isNamed of [true, false]) {
      const continued = await resume({ ...change, at, isNamed });
      if (continued === undefined || continued === change.version) continue;
      mixed.push(`${continued} after ${at} ms, named: ${isNamed}`);
    }
  }
  return mixed;
}

// Guards against streams of two versions: a host that had missed engines of a
// new version continued their streams at the version that it knew.
for (const trouble of Object.keys(TROUBLES)) {
  test(`no stream of a new version continues at the former one at a host that ${trouble}`, async (t) => {
    t.deepEqual(await findMixed({ trouble, version: "v2" }), []);
  });
}

test("streams of the only version continue at a host that was out of step", async (t) => {
  for (const trouble of ["is cut off", "stands still"]) {
    for (const isNamed of [true, false]) {
      const resumption = { trouble, at: 3500, isNamed, version: "v1" } as const;
      t.is(await resume(resumption), "v1", `${trouble}, named: ${isNamed}`);
    }
  }
});
