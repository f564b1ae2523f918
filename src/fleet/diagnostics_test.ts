import type * as net from "node:net";
import test from "ava";
import * as callerFixture from "../gateway/caller_fixture.ts";
import * as diagnostics from "./diagnostics.ts";

// Guards against metrics and reports whose end is that of their connection, as a
// stopping host closes it in the middle of them: `12` of `123` is a number too.
for (const version of ["1.0", "1.1"] as const) {
  test(`what a host shows in HTTP/${version} states its length`, async (t) => {
    const listenAddress = { address: "127.0.0.1", port: 0 };
    const server = await diagnostics.serve(
      { metrics: { listenAddress, path: "/metrics" } },
      {
        exposition: { text: () => Promise.resolve("requests 123\n") },
        host: { evacuations: () => ({ behind: [] }) },
      },
    );
    t.teardown(() => server!.closeAllConnections());
    t.teardown(() => server!.close());
    const { port } = server!.address() as net.AddressInfo;
    const expected = {
      "/metrics": "requests 123\n",
      "/evacuations": '{"behind":[]}',
    };
    for (const [path, body] of Object.entries(expected)) {
      const request = { method: "GET", path, version };
      const reply = await callerFixture.send(`127.0.0.1:${port}`, request);
      t.like(reply, { status: 200, body, framing: "length" });
    }
  });
}
