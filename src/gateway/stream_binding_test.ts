/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import type * as configurations from "../configuration/mod.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import type * as origins from "../origins/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as gateway from "./mod.ts";
import type * as protocols from "./protocol.ts";
import * as streamBindings from "./stream_binding.ts";

const ORIGIN = { service: "desk", version: "v1", host: "h-1", begunAt: 0 };

interface BindingOptions {
  readonly finding?: origins.Finding;
  readonly route?: Partial<configurations.Route>;
  readonly incoming?: Partial<protocols.IncomingRequest>;
}

/** A binding before endpoints of `desk` with the versions v1 and v2. */
function createBinding(
  {
    finding = { type: "found", source: "control", origin: ORIGIN },
    route = {},
    incoming = {},
  }: BindingOptions = {},
) {
  const pool = gateway.EndpointPool.create();
  const entries = ["v1", "v2"].map((version) =>
    endpointFixture.entry({ id: version, address: `${version}:80`, version })
  );
  pool.update(entries, () => undefined);
  const recorded: origins.BegunStream[] = [];
  const asked: origins.ResumedStream[] = [];
  const binding = streamBindings.StreamBinding.create({
    clock: new runtime.FakeClock(),
    random: runtime.createRandom(7),
    pool,
    origins: {
      record: (stream) => void recorded.push(stream),
      find(resumed) {
        asked.push(resumed);
        return Promise.resolve(finding);
      },
    },
  }, {
    incoming: {
      id: "a-2",
      method: "POST",
      host: "host.example",
      target: "/a/x",
      headers: {},
      ...incoming,
    },
    route: fixture.route({ kind: "streaming", resumable: true, ...route }),
    account: { name: "club", keys: [] },
  });
  const bindTo = (version: string) => binding.bind(pool.get(version)!);
  return { binding, pool, recorded, asked, bindTo };
}

const RESUMED = { resumeAfter: "7", firstAttempt: { id: "a-1" } };

test("a stream is bound to the endpoint of its first event alone", (t) => {
  const { binding, recorded, bindTo } = createBinding();
  t.is(binding.version, undefined);
  bindTo("v2");
  bindTo("v1");
  t.is(binding.version, "v2");
  const stream = { attempt: "a-2", account: "club", route: "route" };
  t.like(recorded, [{ stream, service: "desk", version: "v2" }]);
  t.is(recorded.length, 1);
});

test("a stream that can't be resumed is bound, but its origin is not recorded", (t) => {
  const { binding, recorded, bindTo } = createBinding({
    route: { resumable: false },
  });
  bindTo("v2");
  t.is(binding.version, "v2");
  t.is(recorded.length, 0);
});

test("a resumed stream is bound to its origin before any call", async (t) => {
  const { binding, asked, recorded, bindTo } = createBinding({
    incoming: RESUMED,
  });
  t.deepEqual(await binding.chooseService(), {
    type: "service",
    service: "desk",
  });
  t.is(binding.version, "v1");
  const stream = { attempt: "a-1", account: "club", route: "route" };
  t.like(asked, [{ stream, services: ["desk"] }]);
  bindTo("v2");
  t.is(binding.version, "v1");
  t.is(recorded.length, 0);
});

test("of a split route a resumed stream takes the service that began it", async (t) => {
  const targets = ["other", "desk", "third"].map((service) => ({
    service,
    weight: service === "desk" ? 1 : 1000,
  }));
  const { binding } = createBinding({ incoming: RESUMED, route: { targets } });
  t.like(await binding.chooseService(), { service: "desk" });
});

test("a resumed stream whose route leads elsewhere now is refused", async (t) => {
  const targets = [{ service: "other", weight: 1 }];
  const { binding } = createBinding({ incoming: RESUMED, route: { targets } });
  t.like(await binding.chooseService(), {
    type: "none",
    reason: "no-version",
    details: { neededService: "desk", neededVersion: "v1" },
  });
});

test("a resumed stream is refused when no endpoint of its version is left", async (t) => {
  const origin = { ...ORIGIN, version: "v3" };
  const { binding } = createBinding({
    incoming: RESUMED,
    finding: { type: "found", source: "control", origin },
  });
  t.deepEqual(await binding.chooseService(), {
    type: "none",
    reason: "no-version",
    details: { neededVersion: "v3" },
  });
});

test("a resumed stream is refused for now while endpoints of its version back off", async (t) => {
  const { binding, pool } = createBinding({ incoming: RESUMED });
  pool.get("v1")!.announcements.recordBackoff(500, 0);
  const choice = await binding.chooseService();
  t.like(choice, { type: "none", reason: "backoff" });
  t.true(choice.type === "none" && Number(choice.details.retryAfter) > 0);
});

// Guards against streams of two versions: where nothing was known of a stream's
// origin, it was continued at any version.
test("a resumed stream of unknown origin is refused", async (t) => {
  for (const reason of ["not-named", "not-recorded", "conflicting"] as const) {
    const { binding } = createBinding({
      incoming: RESUMED,
      finding: { type: "unknown", reason },
    });
    t.deepEqual(await binding.chooseService(), {
      type: "none",
      reason: "unknown-origin",
      details: {},
    });
  }
  const { binding } = createBinding({
    incoming: RESUMED,
    finding: { type: "unknown", reason: "unreachable" },
  });
  t.like(await binding.chooseService(), { details: { retryAfter: 0.5 } });
});

test("a stream that is not named readably has no origin to ask for", async (t) => {
  for (const firstAttempt of [undefined, "unreadable"] as const) {
    const { binding, asked } = createBinding({
      incoming: { resumeAfter: "7", firstAttempt },
    });
    await binding.chooseService();
    t.is(asked[0].stream, undefined);
  }
});

test("a request without a last event begins a stream, whatever it names", async (t) => {
  const { binding, asked } = createBinding({
    incoming: { firstAttempt: { id: "a-1" } },
  });
  t.like(await binding.chooseService(), { type: "service" });
  t.is(binding.version, undefined);
  t.is(asked.length, 0);
});
