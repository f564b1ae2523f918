/** Traffic of leased shares: when every host wants more of every limit, and
 * with client accounts as at the target.
 * @module */

import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as fakeHost from "../../src/shares/fake_host.ts";
import * as shares from "../../src/shares/mod.ts";

const LIMITS = 10;
const WARM_UP = 10_000;
const SECONDS = 20;

/** Accounts of the target, and its requests a second for each host. */
const ACCOUNTS = 2500;
const REQUESTS_PER_HOST = 17;

type Fleet = fakeFleet.FakeFleet<fakeHost.FakeHost>;

/** Bytes sent in a second. */
export interface Traffic {
  allocator: number;
  host: number;
  /** Milliseconds of processor time a second, all hosts together. */
  cpu: number;
}

/** Measures one allocator and `size` hosts. */
export function measure(size: number): Traffic {
  const limits = Array.from({ length: LIMITS }, (_, pos): shares.Limit => {
    return { row: `account/a${pos}`, column: "rate", limit: 1000 };
  });
  const fleet: Fleet = new fakeFleet.FakeFleet(runtime.createRandom(1), false);
  for (let pos = 0; pos < size; pos++) {
    const host = new fakeHost.FakeHost({ limits, hosts: size, seed: pos });
    host.demands = limits.map(({ row, column }) => {
      return { row, column, demand: 1000 + pos };
    });
    fleet.start(`h${pos}`, host);
  }
  lead(fleet);
  fleet.run(WARM_UP);
  return trafficOf(fleet);
}

/** Measures `size` hosts before which the accounts of the target ask at its
 * rate for each host: a few accounts ask most, by Zipf's law. */
export function measureAccounts(size: number): Traffic {
  const weights = Array.from({ length: ACCOUNTS }, (_, pos) => 1 / (pos + 1));
  const whole = weights.reduce((sum, weight) => sum + weight, 0);
  const rate = size * REQUESTS_PER_HOST;
  const limits = weights.map((weight, pos): shares.Limit => ({
    row: rowOf(pos),
    column: "rate",
    limit: Math.max(2, Math.ceil(2 * rate * weight / whole)),
  }));
  const fleet: Fleet = new fakeFleet.FakeFleet(runtime.createRandom(1), false);
  for (let pos = 0; pos < size; pos++) {
    const host = new fakeHost.FakeHost({ limits, hosts: size, seed: pos });
    fleet.start(`h${pos}`, host);
    ask(fleet, `h${pos}`, { random: runtime.createRandom(pos), limits });
  }
  lead(fleet);
  fleet.run(WARM_UP);
  return trafficOf(fleet);
}

/** Lets accounts ask a host for ever. */
function ask(
  fleet: Fleet,
  id: string,
  { random, limits }: {
    random: runtime.Random;
    limits: readonly shares.Limit[];
  },
): void {
  const meter = shares.meter.DemandMeter.create();
  meter.setLimits(limits);
  const asked = () => {
    const most = 2 * REQUESTS_PER_HOST;
    for (let count = random.below(most + 1); count > 0; count--) {
      // The rank of a draw by Zipf's law, nearly.
      const rank = Math.floor(ACCOUNTS ** random.next()) - 1;
      meter.arrived({ account: `a${rank}`, kind: "any" } as never);
    }
    const demands = meter.read(limits, fleet.clock.now());
    fleet.get(id).demands = demands.filter(({ demand }) => demand > 0);
    fleet.clock.after(1000, asked);
  };
  fleet.clock.after(random.below(1000), asked);
}

function rowOf(account: number): string {
  return `account/a${account}`;
}

function lead(fleet: Fleet): void {
  fleet.call("h0", (host, now) => {
    return host.allocate({ type: "lead", term: 1, until: now + 1e9 }, now);
  });
  for (const id of fleet.ids) {
    fleet.call(id, (host, now) => {
      return host.hold({ type: "allocator", host: "h0", term: 1 }, now);
    });
  }
}

/** Traffic of a window. */
function trafficOf(fleet: Fleet): Traffic {
  fleet.traffic.clear();
  const before = process.cpuUsage();
  fleet.run(SECONDS * 1000);
  const { user, system } = process.cpuUsage(before);
  const bytesOf = (id: string) => fleet.traffic.get(id)!.bytes / SECONDS;
  const others = fleet.ids.slice(1).map(bytesOf);
  return {
    allocator: bytesOf("h0"),
    host: others.reduce((sum, bytes) => sum + bytes, 0) / others.length,
    cpu: (user + system) / 1000 / SECONDS,
  };
}
