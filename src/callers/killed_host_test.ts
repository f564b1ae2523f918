/** Tests of hosts as processes of their own that are killed while their callers
 * read: the system closes their connections in order.
 * @module */

import * as childProcess from "node:child_process";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as callerFixture from "../gateway/caller_fixture.ts";
import * as fakePath from "../request/fake_path.ts";

const PROGRAM = "dist/src/request/fake_path_main.js";
/** Milliseconds in which a host fills the buffers of the system, and forwards the
 * tokens that its engine has sent. */
const FILL_MS = 300;

const headers = { authorization: `Bearer ${fakePath.TOKEN}` };

/** Sends a request to a host of its own, which is killed some time behind the first
 * bytes of its reply; they are read before if the caller is not slow. */
async function askKilled(
  t: ava.ExecutionContext,
  request: callerFixture.RawRequest,
  { isSlow }: { isSlow: boolean },
): Promise<callerFixture.RawReply> {
  const host = childProcess.spawn(process.execPath, [PROGRAM], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  t.teardown(() => void host.kill("SIGKILL"));
  const exit = new Promise((resolve) => host.once("exit", resolve));
  const address = await new Promise<Buffer>((resolve) =>
    host.stdout!.once("data", resolve)
  );
  return await callerFixture.send(`${address}`.trim(), request, {
    readAfter: isSlow ? exit : undefined,
    onBegin() {
      void timers.setTimeout(FILL_MS).then(() => host.kill("SIGKILL"));
    },
  });
}

for (const version of ["1.0", "1.1"] as const) {
  for (const framing of ["length", "chunked"]) {
    // Guards against a part of a large answer that its caller has to take for the
    // whole.
    test(`a plain reply of HTTP/${version} does not look whole as its host is killed: ${framing}`, async (t) => {
      const reply = await askKilled(t, {
        path: "/v1/services/billing/a",
        version,
        headers: { ...headers, "x-framing": framing },
      }, { isSlow: true });
      t.like(reply, { status: 200, framing: "length", isComplete: false });
      t.true(reply.body.length > 0);
    });
  }

  // Guards against a stream of which a part looks whole: in HTTP/1.0 its last event
  // is its only end.
  test(`a stream of HTTP/${version} has no last event as its host is killed`, async (t) => {
    const { status, framing, body, isComplete } = await askKilled(t, {
      path: "/v1/pipelines/short",
      version,
      headers,
      body: JSON.stringify({ input: { text: "one two three" }, stream: true }),
    }, { isSlow: false });
    t.is(status, 200);
    t.regex(body, /^(event: token\ndata: .*\n\n){2}$/);
    if (version === "1.1") t.false(isComplete);
    else t.is(framing, "connection");
  });
}
