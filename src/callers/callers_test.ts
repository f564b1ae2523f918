import test from "ava";
import type * as http from "node:http";
import * as stream from "node:stream";
import * as requestParser from "./request_parser.ts";
import * as body from "./body.ts";
import * as problem from "./problem.ts";
import * as runtime from "../runtime/mod.ts";
import * as tokens from "./tokens.ts";

function incomingOf(
  headers: http.IncomingHttpHeaders = {},
): stream.PassThrough {
  return Object.assign(new stream.PassThrough(), { headers });
}

function readBody(incoming: stream.PassThrough, clock: runtime.Clock) {
  const bounds = { clock, bytes: 10, time: 500 };
  return body.read(incoming as unknown as http.IncomingMessage, bounds);
}

test("reads a body that arrives in several chunks", async (t) => {
  const incoming = incomingOf();
  const pendingBody = readBody(incoming, new runtime.FakeClock());
  incoming.write("one ");
  incoming.end("two");
  t.is((await pendingBody).toString(), "one two");
});

test("rejects a body that does not arrive in time", async (t) => {
  const clock = new runtime.FakeClock();
  const incoming = incomingOf();
  const pendingBody = readBody(incoming, clock);
  incoming.write("one");
  clock.advance(500);
  const error = await t.throwsAsync(pendingBody, {
    instanceOf: problem.CallerError,
  });
  t.is(error.problem.name, "bad-request");
});

test("rejects a body that is larger than the limit", async (t) => {
  const announced = readBody(
    incomingOf({ "content-length": "11" }),
    new runtime.FakeClock(),
  );
  const incoming = incomingOf();
  const counted = readBody(incoming, new runtime.FakeClock());
  incoming.write("x".repeat(11));
  for (const pendingBody of [announced, counted]) {
    const error = await t.throwsAsync(pendingBody, {
      instanceOf: problem.CallerError,
    });
    t.is(error.problem.name, "body-too-large");
  }
});

test("rejects a body whose connection closes early", async (t) => {
  const incoming = incomingOf();
  const pendingBody = readBody(incoming, new runtime.FakeClock());
  incoming.write("one");
  incoming.destroy();
  await t.throwsAsync(pendingBody, { instanceOf: problem.CallerError });
});

test("parses the metadata of a request from its headers", (t) => {
  t.deepEqual(requestParser.metadataOf({}), {
    kind: "default",
    remaining: undefined,
    idempotent: true,
    key: undefined,
  });
  const headers = {
    "chicoryloft-kind": "plan",
    "chicoryloft-deadline": "1500",
    "chicoryloft-idempotent": "false",
    "idempotency-key": "k",
  };
  t.deepEqual(requestParser.metadataOf(headers), {
    kind: "plan",
    remaining: 1500,
    idempotent: false,
    key: "k",
  });
});

test("rejects malformed metadata headers", (t) => {
  const wrong: http.IncomingHttpHeaders[] = [
    { "chicoryloft-kind": "No Name" },
    { "chicoryloft-deadline": "0x10" },
    { "chicoryloft-deadline": "NaN" },
    { "chicoryloft-deadline": "0" },
    { "chicoryloft-idempotent": "no" },
    { "idempotency-key": "" },
    { "idempotency-key": "x".repeat(256) },
  ];
  for (const headers of wrong) {
    t.throws(() => requestParser.metadataOf(headers), {
      instanceOf: problem.CallerError,
    });
  }
});

test("finds an account only by its token", (t) => {
  const hash =
    "793cc13c9ef4576991bd862375f288a23ae72c5e5d0c1b19cdb70f38366a2440";
  const find = (hashed: string) =>
    hashed === hash ? { name: "crew", tokenHash: hash } : undefined;
  const found = tokens.accountOf({ authorization: "Bearer crew-token" }, find);
  const other = tokens.accountOf({ authorization: "Bearer other" }, find);
  t.is(tokens.accountOf({}, find), undefined);
  t.is(other, undefined);
  t.is(found?.name, "crew");
});
