import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as stream from "node:stream";
import type * as ava from "ava";
import test from "ava";
import * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/table_types.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as operators from "../mod.ts";
import * as cli from "./main.ts";

const TOKEN = "editor-token";

function createTable(): operators.LocalTable {
  const changes: schema.Edit["changes"] = [
    { row: "account/crews", column: "weight", version: 0, value: 8 },
    { row: "account/crews", column: "rate", version: 0, value: 40 },
    { row: "service/lm-pool", column: "version", version: 0, value: "1" },
  ];
  const edit = { operation: "0", actor: "settings", changes };
  return operators.LocalTable.create(new runtime.FakeClock(), [edit]);
}

/** Starts a server for a table, and returns a function that runs the command line
 * against it. */
async function startServer(t: ava.ExecutionContext, table = createTable()) {
  const server = await operators.Server.start({
    listener: { port: 0 },
    operators: operators.Operators.create([
      { name: "ines", role: "editor", token: TOKEN },
    ]),
    host: {
      table,
      status: () => ({
        host: "a",
        dataCentre: "hall",
        version: "0",
        state: "ready",
        uptime: 5,
        revision: table.view().revision,
        inFlight: 0,
        endpoints: 0,
        parts: { log: { role: "leader" } },
      }),
      pipelines: () => [],
      endpoints: () => [],
      dump: () => ({}),
      drain() {},
    },
    clock: new runtime.FakeClock(),
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
  });
  t.teardown(() => server.close());
  const url = `http://127.0.0.1:${server.port}`;
  return (...args: string[]) => run([...args, "--url", url]);
}

async function run(args: string[], token = TOKEN) {
  const stdout = new stream.PassThrough();
  const stderr = new stream.PassThrough();
  const env = { CHICORYLOFT_TOKEN: token };
  const code = await cli.main(args, { stdout, stderr, env, colorDepth: 1 });
  return {
    code,
    out: String(stdout.read() ?? ""),
    err: String(stderr.read() ?? ""),
  };
}

function temporaryFile(t: ava.ExecutionContext, text: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const file = path.join(folder, "table.csv");
  fs.writeFileSync(file, text);
  return file;
}

test("`table show` prints aligned columns, or JSON", async (t) => {
  const runCommand = await startServer(t);
  const { code, out } = await runCommand("table", "show");
  t.is(code, 0);
  t.is(
    out,
    "row              weight  rate  version\n" +
      "account/crews         8    40\n" +
      "service/lm-pool                1\n",
  );
  const json = JSON.parse((await runCommand("table", "show", "--json")).out);
  t.deepEqual(json.rows[0].cells.weight, { value: 8, version: 1 });
});

test("an edit is applied, and one of an outdated version is a conflict", async (t) => {
  const runCommand = await startServer(t);
  const edit = ["table", "edit", "account/crews", "weight=9", "rate="];
  t.is((await runCommand(...edit)).out, "revision 2, cells changed: 2\n");
  const stale = await runCommand(
    "table",
    "edit",
    "account/crews",
    "weight=1",
    "--version",
    "1",
  );
  t.is(stale.code, 3);
  t.is(
    stale.err,
    "Another edit came first: account/crews weight is at version 2, by ines\n",
  );
});

test("importing an unmodified export changes nothing", async (t) => {
  const runCommand = await startServer(t);
  const { out } = await runCommand("table", "export");
  const file = temporaryFile(t, out);
  t.is((await runCommand("table", "import", file)).out, "nothing to change\n");
});

test("an import changes only the cells that differ", async (t) => {
  const table = createTable();
  const runCommand = await startServer(t, table);
  const { out } = await runCommand("table", "export");
  const file = temporaryFile(t, out.replace("crews,8,40", "crews,8,"));
  t.is(
    (await runCommand("table", "import", file)).out,
    "revision 2, cells changed: 1\n",
  );
  t.is(table.view().value("account/crews", "rate"), undefined);
  t.is(table.view().cell("account/crews", "weight")?.version, 1);
});

test("an import does not overwrite an edit made since the export", async (t) => {
  const table = createTable();
  const runCommand = await startServer(t, table);
  const { out } = await runCommand("table", "export");
  await runCommand("table", "edit", "account/crews", "weight=9");
  const imported = await runCommand("table", "import", temporaryFile(t, out));
  t.is(imported.code, 3);
  t.is(table.view().value("account/crews", "weight"), 9);
});

const badFiles: [string, string, string][] = [
  ["an unknown column", "row,colour\naccount/crews,red\n", "colour"],
  ["a value out of range", "row,weight\naccount/crews,-1\n", ":2: account"],
  [
    "an incomplete line",
    "row,weight\naccount/crews\n",
    "Invalid Record Length",
  ],
];

for (const [title, text, message] of badFiles) {
  test(`a CSV with ${title} is rejected without changing the table`, async (t) => {
    const table = createTable();
    const runCommand = await startServer(t, table);
    const { code, err } = await runCommand(
      "table",
      "import",
      temporaryFile(t, text),
    );
    t.is(code, 2);
    t.true(err.includes(message), err);
    t.is(table.view().revision, 1);
  });
}

test("a saved edit is sent again with the same operation id", async (t) => {
  const table = createTable();
  const runCommand = await startServer(t, table);
  const changes = [
    { row: "account/crews", column: "weight", version: 1, value: 3 },
  ];
  const file = temporaryFile(t, JSON.stringify({ operation: "7", changes }));
  const first = await runCommand("table", "resend", file);
  const again = await runCommand("table", "resend", file);
  t.is(first.out, "revision 2, cells changed: 1\n");
  t.deepEqual(again, first);
});

test("exit codes distinguish wrong usage from an unavailable host", async (t) => {
  const runCommand = await startServer(t);
  t.is((await run(["tables"])).code, 2);
  t.is((await run(["check", "/nowhere.yaml"])).code, 2);
  t.is((await run(["status"], "")).code, 2);
  t.is((await run(["status", "--url", "http://127.0.0.1:1"])).code, 4);
  t.is((await runCommand("status")).code, 0);
});

test("`check` reports line and path of an invalid value", async (t) => {
  const file = temporaryFile(t, "host: 1\n");
  const { code, err } = await run(["check", file]);
  t.is(code, 2);
  t.is(err, `${file}:1: /fleet: found nothing, expected a value\n`);
});

test("`check` accepts the example settings", async (t) => {
  for (const deployment of ["kivu", "tran-gia"]) {
    const file = `examples/${deployment}/fleet.yaml`;
    t.regex((await run(["check", file])).out, /is fine: 6 hosts/);
  }
});

test("the next host is called when the first does not answer", async (t) => {
  const runCommand = await startServer(t);
  const { code, out } = await runCommand(
    "status",
    "--url",
    "http://127.0.0.1:1",
  );
  t.is(code, 0);
  t.regex(out, /^log +{"role":"leader"}$/m);
});
