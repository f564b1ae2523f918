/** @module */

import * as http from "node:http";
import type * as net from "node:net";
import test, { type ExecutionContext } from "ava";
import type * as undici from "undici";
import * as connections from "./connections.ts";

/** A server that answers `/slow` never, and anything else with the number of
 * the connection that it came on. */
async function serve(t: ExecutionContext) {
  let count = 0;
  const numbers = new WeakMap<net.Socket, number>();
  const server = http.createServer((request, response) => {
    if (request.url === "/slow") return;
    response.end(`${numbers.get(request.socket)}`);
  });
  server.on("connection", (socket) => numbers.set(socket, ++count));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}

async function ask(
  kept: connections.Connections,
  address: string,
  path = "/",
): Promise<string> {
  const options: undici.Dispatcher.RequestOptions = {
    origin: `http://${address}`,
    path,
    method: "GET",
  };
  const answer = await kept.request(options);
  const text = await answer.body.text();
  // The connection is free one turn after its answer.
  await new Promise(setImmediate);
  return text;
}

function createConnections(t: ExecutionContext) {
  const kept = connections.Connections.create({ pipelining: 1 });
  t.teardown(() => kept.destroy());
  return kept;
}

test("calls to one address share a connection", async (t) => {
  const address = await serve(t);
  const kept = createConnections(t);
  t.is(await ask(kept, address), "1");
  t.is(await ask(kept, address), "1");
});

test("a connection kept from before is not taken for who started again", async (t) => {
  const address = await serve(t);
  const kept = createConnections(t);
  await ask(kept, address);
  await kept.abort(address);
  t.deepEqual(kept.addresses, []);
  t.is(await ask(kept, address), "2");
});

test("what is under way at who started again breaks off", async (t) => {
  const address = await serve(t);
  const kept = createConnections(t);
  const open = ask(kept, address, "/slow");
  await new Promise((resolve) => setTimeout(resolve, 20));
  void kept.abort(address);
  await t.throwsAsync(open, { message: /started again/ });
});

test("what is under way at who has left is finished", async (t) => {
  const address = await serve(t);
  const kept = createConnections(t);
  const open = ask(kept, address);
  await kept.retire(address);
  t.is(await open, "1");
});
