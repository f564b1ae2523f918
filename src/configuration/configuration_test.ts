/** @module */

import test from "ava";
import * as configurations from "./mod.ts";
import * as fixture from "./fixture.ts";

function faultOf(change: Partial<configurations.Configuration>) {
  const configuration = fixture.configuration(change);
  return configurations.findViolation(configuration)?.kind;
}

test("a whole configuration has no fault", (t) => {
  t.is(faultOf({}), undefined);
});

test("a route or a stage must name a service that there is", (t) => {
  const target = { service: "none", weight: 1 };
  t.is(
    faultOf({ routes: [fixture.route({ targets: [target] })] }),
    "unknown-service",
  );
  const stage = { service: "none", after: [], bytes: 1 };
  t.is(
    faultOf({ routes: [fixture.route({ stages: [stage] })] }),
    "unknown-service",
  );
});

test("two routes must not share host and prefix", (t) => {
  const routes = [
    fixture.route({ name: "one" }),
    fixture.route({ name: "two", hostname: "HOST.example" }),
  ];
  t.is(faultOf({ routes }), "same-place");
});

test("weights must not add up to nothing, nor a timeout be nothing", (t) => {
  const targets = [{ service: "desk", weight: 0 }];
  t.is(faultOf({ routes: [fixture.route({ targets })] }), "no-weight");
  t.is(faultOf({ routes: [fixture.route({ timeout: 0 })] }), "no-timeout");
});

test("a stage must not need itself or a later one", (t) => {
  const stages = [{ service: "desk", after: [0], bytes: 1 }];
  t.is(faultOf({ routes: [fixture.route({ stages })] }), "bad-stage");
});

test("two accounts must not share a key", (t) => {
  const accounts = [
    { name: "one", keys: ["a", "b"] },
    { name: "two", keys: ["b"] },
  ];
  t.is(faultOf({ accounts }), "shared-key");
});

test("the longest prefix wins, whatever follows on it", (t) => {
  const catalogue = configurations.Catalogue.create(fixture.configuration({
    routes: [
      fixture.route({ name: "all", prefix: "/" }),
      fixture.route({ name: "inner", prefix: "/a/b/" }),
    ],
  }));
  t.is(catalogue.route("host.example", "/a/b/c/d?x=/y/")?.name, "inner");
  t.is(catalogue.route("HOST.example:80", "/a/bc")?.name, "all");
  t.is(catalogue.route("other.example", "/a/b/c"), undefined);
});

test("a key is found with its account", (t) => {
  const accounts = [{ name: "club", keys: ["k1", "k2"] }];
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ accounts }),
  );
  t.is(catalogue.account("k2")?.name, "club");
  t.is(catalogue.account("k3"), undefined);
});
