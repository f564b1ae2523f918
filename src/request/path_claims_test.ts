import test from "ava";
import * as fakePath from "./fake_path.ts";
import type * as pathOptions from "./path_options.ts";

/** In-memory claims that return `results` in order. */
function claimsOf(
  results: pathOptions.ClaimResult[],
): pathOptions.Claims & { settled: (pathOptions.Settlement | undefined)[] } {
  const settled: (pathOptions.Settlement | undefined)[] = [];
  return {
    settled,
    claim: () => Promise.resolve(results.shift()!),
    settle: (_claim, answer) => settled.push(answer),
  };
}

const once = {
  headers: { "idempotency-key": "k1", "chicoryloft-idempotent": "false" },
};

test("runs a claimed request and stores its answer", async (t) => {
  const claims = claimsOf([{ type: "granted" }]);
  const serve: fakePath.Serve = (_incoming, response) => response.end("booked");
  const started = await fakePath.start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  t.is((await fakePath.post(url, "book", once)).text, "booked");
  t.like(claims.settled, { length: 1, 0: { status: 200, body: "booked" } });
  await started.stop();
});

// Guards against a replay that states the end of an answer that stated none, and
// may be a part: resends would get it for the whole.
test("does not store an answer that states no end", async (t) => {
  const claims = claimsOf([{ type: "granted" }]);
  const serve: fakePath.Serve = (_incoming, response) => {
    response.useChunkedEncodingByDefault = false;
    response.setHeader("connection", "close");
    response.write("boo");
    response.end();
  };
  const started = await fakePath.start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  t.is((await fakePath.post(url, "book", once)).text, "boo");
  t.deepEqual(claims.settled, ["not-kept"]);
  await started.stop();
});

for (const status of ["000", "099", "600", "999"]) {
  // Guards against callers who get a status that HTTP does not define, and resends
  // that get it again.
  test(`neither passes on nor stores an answer with status ${status}`, async (t) => {
    const claims = claimsOf([{ type: "granted" }]);
    const serve: fakePath.Serve = ({ headers }, response) => {
      const ids = ["x-request-id", "x-stage", "x-attempt"].map((name) =>
        `${name}: ${headers[name]}\r\n`
      );
      response.socket!.write(
        `HTTP/1.1 ${status} Odd\r\n${ids.join("")}Content-Length: 6\r\n\r\n` +
          "booked",
      );
    };
    const started = await fakePath.start({ billing: serve }, { claims });
    const url = `${started.url}/v1/services/billing/`;
    const refused = await fakePath.post(url, "book", once);
    t.like(refused.body, { status: 502, outcome: "unknown" });
    t.like(claims.settled, { length: 1, 0: { status: 502 } });
    t.is(started.fleet.billing.calls(), 1);
    await started.stop();
  });
}

test("answers a resend without a second call", async (t) => {
  const answer = { status: 201, headers: {}, body: "booked before" };
  const claims = claimsOf([
    { type: "answered", answer },
    { type: "in-progress" },
    { type: "refused", detail: "No quorum", outcome: "not-run" },
  ]);
  const serve: fakePath.Serve = (_incoming, response) => response.end("booked");
  const started = await fakePath.start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  t.like(await fakePath.post(url, "book", once), {
    status: 201,
    text: answer.body,
  });
  t.like((await fakePath.post(url, "book", once)).body, {
    status: 409,
    outcome: "unknown",
  });
  t.like(await fakePath.post(url, "book", once), { status: 503 });
  t.is(started.fleet.billing.calls(), 0);
  t.is(started.tally.total("request.refused"), 2);
  await started.stop();
});

// Guards against a length of the host's own in a reply that has no body.
test("a replayed answer without a body has no length", async (t) => {
  const answer = { status: 204, headers: {}, body: "" };
  const claims = claimsOf([{ type: "answered", answer }]);
  const started = await fakePath.start({}, { claims });
  const url = `${started.url}/v1/services/billing/`;
  const { status, headers } = await fakePath.post(url, "book", once);
  t.is(status, 204);
  t.false("content-length" in headers);
  await started.stop();
});

test("releases a claim when nothing ran", async (t) => {
  const claims = claimsOf([{ type: "granted" }]);
  const started = await fakePath.start({}, { claims });
  const url = `${started.url}/v1/services/billing/`;
  const refused = await fakePath.post(url, "book", once);
  t.like(refused.body, { status: 503, outcome: "not-run" });
  t.deepEqual(claims.settled, [undefined]);
  await started.stop();
});

test("refuses a request at its deadline when its claim gets no answer", async (t) => {
  const claims: pathOptions.Claims = {
    claim: () => new Promise(() => {}),
    settle: () => t.fail(),
  };
  const serve: fakePath.Serve = (_incoming, response) => response.end("booked");
  const started = await fakePath.start({ billing: serve }, { claims });
  const headers = { ...once.headers, "chicoryloft-deadline": "50" };
  const url = `${started.url}/v1/services/billing/`;
  const refused = await fakePath.post(url, "book", { headers });
  t.like(refused.body, { status: 503, outcome: "unknown" });
  t.is(started.fleet.billing.calls(), 0);
  await started.stop();
});

// The first request with the key may have run through another host.
test("reports an unknown outcome when a key can't be claimed", async (t) => {
  const answer = { status: 200, headers: {}, body: "booked before" };
  const results = [Promise.resolve({ type: "answered", answer } as const)];
  const claims: pathOptions.Claims = {
    claim: () => results.shift() ?? Promise.reject(new Error("No quorum")),
    settle: () => t.fail(),
  };
  const serve: fakePath.Serve = (_incoming, response) => response.end("booked");
  const started = await fakePath.start({ billing: serve }, { claims });
  const url = `${started.url}/v1/services/billing/`;
  const first = await fakePath.post(url, "book", once);
  t.like(first, { status: 200, text: answer.body });
  const refused = await fakePath.post(url, "book", once);
  t.like(refused.body, { status: 503, outcome: "unknown" });
  t.is(refused.headers["retry-after"], "1");
  t.is(started.fleet.billing.calls(), 0);
  await started.stop();
});
