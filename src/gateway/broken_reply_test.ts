/** Replies that are broken off, as their callers see it.
 * @module */

import test from "ava";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const EVENT = "id: 1\ndata: 1\n\n";

// Guards against streams that end in order when they are broken off: in HTTP/1.0
// that is the end of a whole one.
for (const version of ["1.0", "1.1"] as const) {
  test(`a stream that is broken off does not look complete in HTTP/${version}`, async (t) => {
    const host = await fixture.startHost(
      t,
      { kind: "streaming", objective: 1000, stages: [] },
      (_, response) => {
        response.writeHead(200, { "test-signature": "s" });
        response.write(EVENT);
        fixture.clock.after(50, () => response.destroy());
      },
    );
    const reply = await callerFixture.send(host.gatewayAddress, { version });
    t.like(reply, { status: 200, body: EVENT, isComplete: false });
  });
}
