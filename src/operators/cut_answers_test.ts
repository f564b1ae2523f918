/** Answers of hosts and files that are cut off, as the operators' tools read them.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as cells from "./cli/cells.ts";
import * as client from "./client/mod.ts";

/** Starts a host that sends the first `length` bytes of an answer without a length
 * or chunks, and ends the connection. */
async function startHost(
  t: ava.ExecutionContext,
  body: string,
  { status = "200" } = {},
) {
  const cut = { length: body.length };
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      const head = `HTTP/1.1 ${status} OK\r\nConnection: close\r\n\r\n`;
      socket.end(head + body.slice(0, cut.length));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const source = client.Client.create({
    urls: [`http://127.0.0.1:${port}`],
    token: "token",
    clock: new runtime.FakeClock(),
  });
  return { cut, source };
}

// Guards against a part of an answer that is shown as the whole.
test("no part of a host's answer is taken for the whole", async (t) => {
  const answer = { revision: 123, rows: [], uptime: 12.5 };
  const { cut, source } = await startHost(t, JSON.stringify(answer));
  t.deepEqual(await source.read("/v1/table"), answer);
  for (cut.length--; cut.length >= 0; cut.length--) {
    await t.throwsAsync(source.read("/v1/table"), {
      instanceOf: client.ClientError,
    }, `cut at ${cut.length}`);
  }
});

// Guards against an answer that is taken for the state of a host though its status
// is none that HTTP defines, or promises another answer.
test("no answer with an invalid status is taken for a host's", async (t) => {
  for (const status of ["000", "099", "101", "103", "600", "999", "1000"]) {
    const { source } = await startHost(t, `{"revision":1,"rows":[]}`, {
      status,
    });
    await t.throwsAsync(source.read("/v1/table"), {
      instanceOf: client.ClientError,
    }, status);
  }
});

// Guards against an import of values that are parts of those exported.
test("a part of an exported table changes no cell to a part of its value", (t) => {
  const viewOf = (weight: number, rate: number) => ({
    revision: 2,
    rows: ["account/crews", "account/divers"].map((row) => ({
      row,
      cells: {
        weight: { value: weight, version: 1 },
        rate: { value: rate, version: 12 },
      },
    })),
  });
  const text = cells.toCSV(viewOf(123, 456));
  const view = viewOf(1, 4);
  const whole = cells.fromCSV(text, { view, file: "f" });
  t.is(whole.length, 4);
  for (let length = 0; length < text.length; length++) {
    try {
      const changes = cells.fromCSV(text.slice(0, length), { view, file: "f" });
      for (const { row, column, value } of changes) {
        t.true([123, 456].includes(value as number), `${row} ${column}`);
      }
    } catch (error) {
      t.true(error instanceof client.ClientError);
    }
  }
});
