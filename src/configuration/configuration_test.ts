/** @module */

import test from "ava";
import * as configurations from "./mod.ts";
import * as fixture from "./fixture.ts";

function violationOf(change: Partial<configurations.Configuration>) {
  const configuration = fixture.configuration(change);
  return configurations.findViolation(configuration)?.kind;
}

test("a valid configuration has no violation", (t) => {
  t.is(violationOf({}), undefined);
});

test("a route or a stage must refer to a known service", (t) => {
  const target = { service: "none", weight: 1 };
  t.is(
    violationOf({ routes: [fixture.route({ targets: [target] })] }),
    "unknown-service",
  );
  const stage = { service: "none", after: [], bytes: 1 };
  t.is(
    violationOf({ routes: [fixture.route({ stages: [stage] })] }),
    "unknown-service",
  );
});

test("two routes must not share a host name and prefix", (t) => {
  const routes = [
    fixture.route({ name: "one" }),
    fixture.route({ name: "two", hostname: "HOST.example" }),
  ];
  t.is(violationOf({ routes }), "same-place");
});

test("weights must not add up to 0, nor may a timeout be 0", (t) => {
  const targets = [{ service: "desk", weight: 0 }];
  t.is(violationOf({ routes: [fixture.route({ targets })] }), "no-weight");
  t.is(violationOf({ routes: [fixture.route({ timeout: 0 })] }), "no-timeout");
});

test("a stage must not depend on itself or a later stage", (t) => {
  const stages = [{ service: "desk", after: [0], bytes: 1 }];
  t.is(violationOf({ routes: [fixture.route({ stages })] }), "bad-stage");
});

test("two accounts must not share a key", (t) => {
  const accounts = [
    { name: "one", keys: ["a", "b"] },
    { name: "two", keys: ["b"] },
  ];
  t.is(violationOf({ accounts }), "shared-key");
});

test("the route with the longest matching prefix is found", (t) => {
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

test("an account is found by each of its API keys", (t) => {
  const accounts = [{ name: "club", keys: ["k1", "k2"] }];
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ accounts }),
  );
  t.is(catalogue.account("k2")?.name, "club");
  t.is(catalogue.account("k3"), undefined);
});
