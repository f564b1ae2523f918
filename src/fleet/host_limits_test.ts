import test from "ava";
import * as hostLimits from "./host_limits.ts";

test("limits follow from the memory and the descriptors of a host", (t) => {
  const host = { memory: 350_000_000, descriptors: 3900, limits: {} };
  t.is(hostLimits.requestBytes(host), 57_500_000);
  t.deepEqual(hostLimits.connectionBounds(host), {
    maxConnections: 877,
    maxPipelined: 16,
  });
  const few = { ...host, descriptors: 300 };
  t.is(hostLimits.connectionBounds(few).maxConnections, 100);
});

test("a host has room for some clients however small it is", (t) => {
  const host = { memory: 48_000_000, descriptors: 0, limits: {} };
  t.is(hostLimits.requestBytes(host), 3_000_000);
  t.is(hostLimits.connectionBounds(host).maxConnections, 32);
});

test("limits that are set take the place of their defaults", (t) => {
  const host = {
    memory: 350_000_000,
    limits: {
      "request-bytes": 1000,
      "connections": 7,
      "pipelined-requests": 2,
      "configuration-values": 9,
    },
  };
  t.deepEqual(hostLimits.controlBounds(host), {
    requestBytes: 1000,
    maxConnections: 7,
    maxPipelined: 2,
    configurationValues: 9,
  });
});
