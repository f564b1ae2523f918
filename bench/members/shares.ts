/** Traffic of leased shares when every host wants more of every limit.
 * @module */

import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as fakeHost from "../../src/shares/fake_host.ts";
import type * as shares from "../../src/shares/mod.ts";

const LIMITS = 10;
const WARM_UP = 10_000;
const SECONDS = 20;

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
  const fleet = new fakeFleet.FakeFleet<fakeHost.FakeHost>(
    runtime.createRandom(1),
    false,
  );
  for (let pos = 0; pos < size; pos++) {
    const host = new fakeHost.FakeHost({ limits, hosts: size, seed: pos });
    host.demands = limits.map(({ row, column }) => {
      return { row, column, demand: 1000 + pos };
    });
    fleet.start(`h${pos}`, host);
  }
  fleet.call("h0", (host, now) => {
    return host.allocate({ type: "lead", term: 1, until: now + 1e9 }, now);
  });
  for (const id of fleet.ids) {
    fleet.call(id, (host, now) => {
      return host.hold({ type: "allocator", host: "h0", term: 1 }, now);
    });
  }
  fleet.run(WARM_UP);
  fleet.traffic.clear();
  const before = process.cpuUsage();
  fleet.run(SECONDS * 1000);
  const { user, system } = process.cpuUsage(before);
  const bytesOf = (id: string) => fleet.traffic.get(id)!.bytes / SECONDS;
  return {
    allocator: bytesOf("h0"),
    host: bytesOf("h1"),
    cpu: (user + system) / 1000 / SECONDS,
  };
}
