import type * as ava from "ava";
import test from "ava";
import type * as schema from "../schema/table_types.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as operators from "./mod.ts";

const HASH = "ab".repeat(32);

function createEdit(
  operation: string,
  change: Partial<schema.Change> = {},
): Omit<schema.Edit, "actor"> {
  const row = "account/crews";
  const whole = { row, column: "weight" as const, version: 0, value: 2 };
  return { operation, changes: [{ ...whole, ...change }] };
}

function createHost(table: operators.TableAccess) {
  let state: operators.HostState = "ready";
  const status = () => ({
    host: "a",
    dataCentre: "hall",
    version: "0",
    state,
    uptime: 0,
    revision: table.view().revision,
    inFlight: 0,
    endpoints: 0,
    parts: {},
  });
  return {
    table,
    status,
    pipelines: () => [],
    endpoints: () => [],
    dump: () => ({ table: operators.redactRows(table.view().rows()) }),
    drain: () => void (state = "draining"),
  };
}

/** Starts a server for a simulated host, with functions to call it as an
 * operator. */
async function startServer(
  t: ava.ExecutionContext,
  access?: operators.TableAccess,
) {
  const clock = new runtime.FakeClock();
  const table = access ?? operators.LocalTable.create(clock);
  const metrics = new telemetry.Tally();
  const lines: string[] = [];
  const destination = { write: (line: string) => lines.push(line) };
  const server = await operators.Server.start({
    listener: { port: 0 },
    operators: operators.Operators.create([
      { name: "ines", role: "editor", token: "editor-token" },
      { name: "jo", role: "reader", token: "reader-token" },
    ]),
    host: createHost(table),
    clock,
    metrics,
    logger: telemetry.createLogger({ host: "a", destination }),
  });
  t.teardown(() => server.close());
  const base = `http://127.0.0.1:${server.port}`;
  const call = async (path: string, options: Call = {}) => {
    const { as = "editor", body, text } = options;
    const response = await fetch(`${base}${path}`, {
      method: body || text ? "POST" : options.method,
      headers: { authorization: `Bearer ${as}-token` },
      body: text ?? (body === undefined ? undefined : JSON.stringify(body)),
    });
    return { status: response.status, body: await response.json() as Body };
  };
  const open = (path: string, as = "editor") =>
    fetch(`${base}${path}`, {
      headers: { authorization: `Bearer ${as}-token` },
    });
  return { call, open, clock, metrics, lines, table };
}

interface Call {
  as?: string;
  method?: string;
  body?: unknown;
  text?: string;
}

// deno-lint-ignore no-explicit-any
type Body = any;

test("an edit that is sent twice is applied once", async (t) => {
  const { call, metrics } = await startServer(t);
  const first = await call("/v1/table/edits", { body: createEdit("1") });
  const again = await call("/v1/table/edits", { body: createEdit("1") });
  t.deepEqual(first, { status: 200, body: { revision: 1 } });
  t.deepEqual(again, first);
  const { body } = await call("/v1/table");
  t.deepEqual(body, {
    revision: 1,
    rows: [{
      row: "account/crews",
      cells: { weight: { value: 2, version: 1 } },
    }],
  });
  t.is(metrics.total("table.edited"), 2);
});

test("an edit of an outdated version is answered with the conflict", async (t) => {
  const { call } = await startServer(t);
  await call("/v1/table/edits", { body: createEdit("1") });
  const { status, body } = await call("/v1/table/edits", {
    body: createEdit("2", { value: 9 }),
  });
  t.is(status, 409);
  t.like(body, {
    type: "urn:chicoryloft:problem:conflict",
    outcome: "not-run",
    conflict: { version: 1, value: 2, actor: "ines" },
  });
});

const refused: [string, string, Call, number, string][] = [
  ["a wrong token", "/v1/table", { as: "no" }, 401, "unauthorized"],
  [
    "a reader's edit",
    "/v1/table/edits",
    {
      as: "reader",
      body: createEdit("1"),
    },
    403,
    "forbidden",
  ],
  [
    "a reader's drain",
    "/v1/drain",
    { as: "reader", method: "POST" },
    403,
    "forbidden",
  ],
  [
    "an edit in the name of another operator",
    "/v1/table/edits",
    {
      body: { ...createEdit("1"), actor: "jo" },
    },
    403,
    "forbidden",
  ],
  ["broken JSON", "/v1/table/edits", { text: "{" }, 400, "bad-request"],
  [
    "an unknown column",
    "/v1/table/edits",
    {
      body: createEdit("1", { column: "colour" as schema.Column }),
    },
    400,
    "bad-request",
  ],
  [
    "a value out of range",
    "/v1/table/edits",
    {
      body: createEdit("1", { value: -1 }),
    },
    422,
    "refused",
  ],
  [
    "an oversized body",
    "/v1/table/edits",
    {
      text: " ".repeat(2 << 20),
    },
    413,
    "body-too-large",
  ],
  ["an unknown path", "/v1/tables", {}, 404, "not-found"],
  ["a property name of Object", "/constructor", {}, 404, "not-found"],
  [
    "an unsupported method",
    "/v1/status",
    { method: "DELETE" },
    405,
    "method-not-allowed",
  ],
];

for (const [title, path, options, status, name] of refused) {
  test(`${title} is rejected with a problem document`, async (t) => {
    const { call, table } = await startServer(t);
    const answer = await call(path, options);
    t.is(answer.status, status);
    t.is(answer.body.type, `urn:chicoryloft:problem:${name}`);
    t.is(table.view().revision, 0);
  });
}

const unavailable: [operators.EditResult & { outcome: string }, string][] = [
  [
    { type: "unavailable", outcome: "not-run", detail: "no leader" },
    "no-quorum",
  ],
  [{ type: "unavailable", outcome: "unknown", detail: "cut off" }, "unknown"],
];

for (const [result, name] of unavailable) {
  test(`a failed edit reports the outcome ${result.outcome}`, async (t) => {
    const table = operators.LocalTable.create(new runtime.FakeClock());
    table.edit = () => Promise.resolve(result);
    const { call } = await startServer(t, table);
    const answer = await call("/v1/table/edits", { body: createEdit("1") });
    t.is(answer.status, 503);
    t.like(answer.body, {
      type: `urn:chicoryloft:problem:${name}`,
      outcome: result.outcome,
    });
  });
}

test("token hashes are redacted in logs, dumps and answers to readers", async (t) => {
  const { call, lines } = await startServer(t);
  const hidden = createEdit("1", { column: "tokenHash", value: HASH });
  await call("/v1/table/edits", { body: hidden });
  const whole = await call("/v1/table");
  t.is(whole.body.rows[0].cells.tokenHash.value, HASH);
  const shown = [
    await call("/v1/table", { as: "reader" }),
    await call("/v1/dump"),
    lines,
  ];
  t.notRegex(JSON.stringify(shown), new RegExp(HASH));
  t.regex(JSON.stringify(shown[0]), /\[redacted\]/);
  t.like(JSON.parse(lines[0]), { operator: "ines", operation: "1" });
});

test("a drain is logged with the operator that requested it", async (t) => {
  const { call, lines } = await startServer(t);
  const { status, body } = await call("/v1/drain", { method: "POST" });
  t.is(status, 202);
  t.deepEqual(body, { state: "draining" });
  t.like(JSON.parse(lines[0]), { operator: "ines", msg: "Drain requested" });
});

test("a watcher receives the current table, then each change once", async (t) => {
  const { call, open } = await startServer(t);
  await call("/v1/table/edits", { body: createEdit("1") });
  const response = await open("/v1/table/watch");
  const text = response.body!.pipeThrough(new TextDecoderStream()).getReader();
  t.regex((await text.read()).value!, /^event: table\ndata: {"revision":1,/);
  const edit = createEdit("2", { version: 1, value: 5 });
  await call("/v1/table/edits", { body: edit });
  const { value } = await text.read();
  const [event, data] = value!.split("\n");
  t.is(event, "event: change");
  t.like(JSON.parse(data.slice("data: ".length)), {
    revision: 2,
    actor: "ines",
    changes: { 0: { row: "account/crews", value: 5, version: 2 } },
  });
  await text.cancel();
});

test("a watcher that is up to date receives only heartbeats", async (t) => {
  const { call, open, clock } = await startServer(t);
  await call("/v1/table/edits", { body: createEdit("1") });
  const response = await open("/v1/table/watch?revision=1", "reader");
  const text = response.body!.pipeThrough(new TextDecoderStream()).getReader();
  clock.advance(5000);
  t.is((await text.read()).value, ": alive\n\n");
  await text.cancel();
});
