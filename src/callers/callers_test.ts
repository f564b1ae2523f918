import test from "ava";
import type * as http from "node:http";
import * as stream from "node:stream";
import * as ask from "./request_parser.ts";
import * as body from "./body.ts";
import * as problem from "./problem.ts";
import * as runtime from "../runtime/mod.ts";
import * as tokens from "./tokens.ts";

function incomingOf(
  headers: http.IncomingHttpHeaders = {},
): stream.PassThrough {
  return Object.assign(new stream.PassThrough(), { headers });
}

function read(incoming: stream.PassThrough, clock: runtime.Clock) {
  const bounds = { clock, bytes: 10, time: 500 };
  return body.read(incoming as unknown as http.IncomingMessage, bounds);
}

test("reads a body that comes in parts", async (t) => {
  const incoming = incomingOf();
  const whole = read(incoming, new runtime.FakeClock());
  incoming.write("one ");
  incoming.end("two");
  t.is((await whole).toString(), "one two");
});

test("gives up a body that comes too slowly", async (t) => {
  const clock = new runtime.FakeClock();
  const incoming = incomingOf();
  const whole = read(incoming, clock);
  incoming.write("one");
  clock.advance(500);
  const error = await t.throwsAsync(whole, { instanceOf: problem.CallerError });
  t.is(error.problem.name, "bad-request");
});

test("gives up a body that is larger than it may be", async (t) => {
  const announced = read(
    incomingOf({ "content-length": "11" }),
    new runtime.FakeClock(),
  );
  const incoming = incomingOf();
  const counted = read(incoming, new runtime.FakeClock());
  incoming.write("x".repeat(11));
  for (const whole of [announced, counted]) {
    const error = await t.throwsAsync(whole, {
      instanceOf: problem.CallerError,
    });
    t.is(error.problem.name, "body-too-large");
  }
});

test("gives up a body that is cut", async (t) => {
  const incoming = incomingOf();
  const whole = read(incoming, new runtime.FakeClock());
  incoming.write("one");
  incoming.destroy();
  await t.throwsAsync(whole, { instanceOf: problem.CallerError });
});

test("reads the terms of a request from its headers", (t) => {
  t.deepEqual(ask.metadataOf({}), {
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
  t.deepEqual(ask.metadataOf(headers), {
    kind: "plan",
    remaining: 1500,
    idempotent: false,
    key: "k",
  });
});

test("refuses terms that are malformed", (t) => {
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
    t.throws(() => ask.metadataOf(headers), {
      instanceOf: problem.CallerError,
    });
  }
});

test("knows an account by its token only", (t) => {
  const hash =
    "793cc13c9ef4576991bd862375f288a23ae72c5e5d0c1b19cdb70f38366a2440";
  const find = (asked: string) =>
    asked === hash ? { name: "crew", tokenHash: hash } : undefined;
  const known = tokens.accountOf({ authorization: "Bearer crew-token" }, find);
  const other = tokens.accountOf({ authorization: "Bearer other" }, find);
  t.is(tokens.accountOf({}, find), undefined);
  t.is(other, undefined);
  t.is(known?.name, "crew");
});
