import type * as ava from "ava";
import test from "ava";
import * as fs from "node:fs";
import * as nodeTls from "node:tls";
import * as url from "node:url";
import * as undici from "undici";
import * as callerFixture from "../gateway/caller_fixture.ts";
import * as fakePath from "../request/fake_path.ts";
import * as operators from "../operators/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";

const tls = {
  certificate: fileOf("certificate.pem"),
  key: fileOf("key.pem"),
};

/** Path of a test file, relative to the compiled test in `dist/src/callers`. */
function fileOf(name: string): string {
  const place = `../../../src/callers/testdata/${name}`;
  return url.fileURLToPath(new URL(place, import.meta.url));
}

function agentOf(t: ava.ExecutionContext, ca?: Buffer): undici.Agent {
  const agent = new undici.Agent({ connect: { ca } });
  t.teardown(() => agent.destroy());
  return agent;
}

test("serves callers over TLS and refuses plain HTTP", async (t) => {
  const settings = fakePath.settingsOf();
  settings.listen.callers = { port: 0, tls };
  const started = await fakePath.start(fakePath.allEndpoints, { settings });
  t.teardown(() => started.stop());
  const plain = `${started.url}/v1/pipelines/short`;
  const secure = plain.replace("http:", "https:");
  const options = {
    method: "POST",
    headers: { authorization: `Bearer ${fakePath.TOKEN}` },
    body: JSON.stringify({ input: { text: "one two" }, stream: true }),
  } as const;
  const dispatcher = agentOf(t, fs.readFileSync(tls.certificate));
  const answer = await undici.request(secure, { ...options, dispatcher });
  t.is(answer.statusCode, 200);
  t.regex(await answer.body.text(), /event: done/);
  // The self-signed certificate is trusted only when it is given as a CA.
  const untrusting = agentOf(t);
  await t.throwsAsync(
    undici.request(secure, { ...options, dispatcher: untrusting }),
    { code: "DEPTH_ZERO_SELF_SIGNED_CERT" },
  );
  await t.throwsAsync(undici.request(plain, options));
  t.is(started.tally.total("request.arrived"), 1);
});

test("serves operators over TLS", async (t) => {
  const clock = new runtime.FakeClock();
  const server = await operators.Server.start({
    listener: { port: 0, tls },
    operators: operators.Operators.create([
      { name: "ines", role: "reader", token: "reader-token" },
    ]),
    host: {
      table: operators.LocalTable.create(clock),
      status: () => ({
        host: "a",
        dataCentre: "hall",
        version: "0",
        state: "ready",
        uptime: 0,
        revision: 0,
        inFlight: 0,
        endpoints: 0,
        parts: {},
      }),
      pipelines: () => [],
      endpoints: () => [],
      dump: () => ({}),
      drain: () => {},
    },
    clock,
    metrics: new telemetry.Tally(),
    logger: telemetry.noLogger,
  });
  t.teardown(() => server.close());
  const dispatcher = agentOf(t, fs.readFileSync(tls.certificate));
  const headers = { authorization: "Bearer reader-token" };
  const status = `https://127.0.0.1:${server.port}/v1/status`;
  const answer = await undici.request(status, { dispatcher, headers });
  t.like(await answer.body.json(), { host: "a", state: "ready" });
  const plain = status.replace("https:", "http:");
  await t.throwsAsync(undici.request(plain, { headers }));
});

// Guards against an orderly end of a stream that is broken off. Callers such as
// Node's don't ask for the alert with which TLS is closed in order.
test("a stream of HTTP/1.0 over TLS is reset when its host stops", async (t) => {
  const settings = fakePath.settingsOf();
  settings.listen.callers = { port: 0, tls };
  const started = await fakePath.start({
    "lm-pool@1": fakePath.generate({ stopAt: 1 }),
  }, { settings, clock: fakePath.HASTY_CLOCK });
  const { hostname: host, port } = new URL(started.url);
  const socket = nodeTls.connect({
    host,
    port: Number(port),
    rejectUnauthorized: false,
  });
  const ended = new Promise<string>((resolve) => {
    socket.once("end", () => resolve("end"));
    socket.once("error", ({ code }: NodeJS.ErrnoException) => resolve(code!));
  });
  socket.write(callerFixture.textOf({
    version: "1.0",
    path: "/v1/pipelines/short",
    headers: { authorization: `Bearer ${fakePath.TOKEN}` },
    body: JSON.stringify({ input: { text: "one two" }, stream: true }),
  }));
  let text = "";
  socket.on("data", (part) => text += part);
  while (!text.includes("event: token")) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await started.stop();
  t.is(await ended, "ECONNRESET");
});
