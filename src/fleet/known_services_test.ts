/** @module */

import test from "ava";
import * as fixture from "../configuration/fixture.ts";
import * as versions from "../control/versions/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as knownServices from "./known_services.ts";

/** Services of `current`, whose documents are lists of names. */
function servicesOf(current: () => versions.ConfigurationVersion | undefined) {
  const decoded: string[] = [];
  const services = knownServices.KnownServices.create({
    logger: telemetry.noLogger,
    configuration: current,
    decodeConfiguration(document) {
      decoded.push(document);
      const names: string[] = JSON.parse(document);
      const services = names.map((name) => ({ name, connections: 10 }));
      return fixture.configuration({ services });
    },
  });
  return { services, decoded };
}

test("services are known by the newest version of the configuration", (t) => {
  let current = versions.packVersion(1, '["desk"]');
  const { services, decoded } = servicesOf(() => current);
  t.deepEqual(["desk", "map"].map((name) => services.has(name)), [true, false]);
  current = versions.packVersion(2, '["map"]');
  t.deepEqual(["desk", "map"].map((name) => services.has(name)), [false, true]);
  t.is(decoded.length, 2, "each version is decoded once");
});

// Guards against a control host that takes no heartbeats until it has a
// configuration, or after one that it can't decode.
test("all services are known without a configuration that can be decoded", (t) => {
  t.true(servicesOf(() => undefined).services.has("desk"));
  t.true(servicesOf(() => versions.NO_VERSION).services.has("desk"));
  const invalid = versions.packVersion(1, "{");
  t.true(servicesOf(() => invalid).services.has("desk"));
});
