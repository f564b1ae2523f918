/** @module */

import test from "ava";
import * as configurations from "../configuration/mod.ts";
import * as fixture from "../configuration/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as admission from "./admission.ts";

const ASK = {
  id: "r",
  method: "GET",
  host: "host.example",
  target: "/a/x",
  headers: {},
};

const ACCOUNT = { name: "crews", keys: ["k"] };

function judge(
  change: { target?: string; apiKey?: string } = {},
  { age = 0, isKnown = true } = {},
) {
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ routes: [fixture.route()], accounts: [ACCOUNT] }),
  );
  const fleetView = {
    catalogue: () => isKnown ? catalogue : undefined,
    configurationAge: () => age,
    hostCount: () => 1,
  };
  const context = { fleetView, maxConfigurationAge: 1000 };
  return admission.admit({ ...ASK, ...change }, context);
}

test("a request with a known API key is admitted for its account", (t) => {
  const { reason, account, route } = judge({ apiKey: "k" });
  t.is(reason, undefined);
  t.is(account?.name, "crews");
  t.is(route?.prefix, "/a/");
});

test("a refused request has a reason", (t) => {
  t.is(judge({ apiKey: "other" }).reason, "bad-key");
  t.is(judge().reason, "bad-key");
  t.is(judge({ apiKey: "k", target: "/b/" }).reason, "no-route");
  t.is(judge({ apiKey: "k" }, { age: 1001 }).reason, "stale-configuration");
  t.is(judge({ apiKey: "k" }, { isKnown: false }).reason, "no-configuration");
});

test("services are picked in proportion to their weights", (t) => {
  const targets = [{ service: "a", weight: 3 }, { service: "b", weight: 1 }];
  const random = runtime.createRandom(1);
  const route = fixture.route({ targets });
  const picked = Array.from(
    { length: 400 },
    () => admission.pickService(route, random),
  );
  const count = picked.filter((service) => service === "a").length;
  t.true(count > 260 && count < 340, `${count}`);
});
