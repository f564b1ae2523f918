/** @module */

import * as timers from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import * as ws from "ws";
import type * as schema from "../schema/fleet_types.ts";
import * as acknowledgements from "./acknowledgements.ts";
import * as fixture from "./fixture.ts";
import * as frames from "./frame.ts";
import * as handshake from "./handshake.ts";
import * as tcpProxy from "./tcp_proxy.ts";

const { ASKER, OWNER, startHost, until } = fixture;

/** Two hosts that are connected; the owner replies at once. The owner's
 * connection to the asker passes through `proxy`. */
async function startPair(t: ExecutionContext) {
  const hosts: { asker?: fixture.Host } = {};
  const proxy = await tcpProxy.TcpProxy.create(() =>
    hosts.asker?.transport.port ?? 0
  );
  const owner = await startHost({
    self: OWNER,
    port: proxy.port,
    handlers: {
      confirm: ({ version = 0 }) =>
        Promise.resolve({ type: "confirmed", index: version }),
    },
  });
  const asker = hosts.asker = await startHost({
    self: ASKER,
    port: owner.transport.port,
  });
  const ask = () =>
    asker.rpc.ask(OWNER, { type: "confirm" }, { timeout: 5000 });
  await ask();
  const both = [asker, owner];
  const total = (name: "peer.frames_sent" | "peer.acks_sent") =>
    both.reduce((sum, { tally }) => sum + tally.total(name), 0);
  t.teardown(async () => {
    await Promise.all(both.map(({ transport }) => transport.stop()));
    await proxy.close();
  });
  return { asker, owner, proxy, ask, total };
}

/** Batches of a host that are not acknowledged. */
function inFlight({ transport }: fixture.Host): number {
  const counts = JSON.stringify(transport.dump()).matchAll(/"underWay":(\d+)/g);
  return [...counts].reduce((sum, [, count]) => sum + Number(count), 0);
}

const NOTICE: schema.Notice = { type: "suspects", suspects: [] };
const QUESTION_COUNT = 20;
/** Milliseconds in which a reply is sent and lost: less than an acknowledgement
 * may take. */
const LOSS_MS = 50;

// Guards against an acknowledgement of its own for each frame: half of the
// messages between hosts, on which owners of partitions spent their processor.
test("a question and its reply are acknowledged by the frames that follow", async (t) => {
  const { ask, total } = await startPair(t);
  for (let count = 1; count < QUESTION_COUNT; count++) await ask();
  t.is(total("peer.frames_sent"), 2 * QUESTION_COUNT);
  t.true(total("peer.acks_sent") <= 2, `${total("peer.acks_sent")} sent`);
});

test("frames without any in return are acknowledged several at a time", async (t) => {
  const { asker, owner, total } = await startPair(t);
  const before = total("peer.acks_sent");
  for (let count = 1; count <= 8; count++) {
    asker.rpc.cast(OWNER, NOTICE);
    await until(() => owner.notices.length === count);
  }
  t.is(total("peer.acks_sent") - before, 2);
});

test("all frames are acknowledged after the delay", async (t) => {
  const { asker, owner, ask } = await startPair(t);
  await ask();
  asker.rpc.cast(OWNER, NOTICE);
  await until(() => inFlight(asker) + inFlight(owner) === 0);
  t.pass();
});

// Guards against a connection that is replaced as silent although all its frames
// have arrived: their acknowledgement was on a frame that was lost.
test("an acknowledgement that may be lost with its frame is sent again", async (t) => {
  const { asker, proxy, ask } = await startPair(t);
  proxy.blackhole();
  // The reply that acknowledges the question is lost.
  void ask().catch(() => {});
  await until(() => asker.tally.total("peer.frames_sent") === 2);
  await timers.setTimeout(LOSS_MS);
  t.true(inFlight(asker) > 0);
  proxy.reset();
  await until(() => inFlight(asker) === 0);
  t.is(asker.tally.total("peer.silent"), 0);
});

test("a host of an earlier release gets an acknowledgement for each frame", async (t) => {
  const owner = await startHost({ self: OWNER, port: 0 });
  const { [handshake.ACKNOWLEDGEMENT_HEADER]: _, ...headers } = handshake
    .headersFor({ from: ASKER, to: OWNER }, {});
  const url = `ws://127.0.0.1:${owner.transport.port}`;
  const socket = new ws.WebSocket(url, { headers });
  const received: string[] = [];
  socket.on("message", (data) => received.push(`${data}`));
  await new Promise((resolve) => socket.on("open", resolve));
  for (const id of [0, 1, 2]) socket.send(frames.encode(id, []));
  await until(() => received.length === 3);
  t.deepEqual(received, ["0", "1", "2"]);
  socket.terminate();
  await owner.transport.stop();
});

test("an acknowledgement that a frame carries is not sent again by itself", (t) => {
  const sent: number[] = [];
  const one = acknowledgements.Acknowledgements.create({
    isCumulative: true,
    send: (id) => sent.push(id),
  });
  t.is(one.take(), undefined);
  one.record(0);
  one.record(1);
  t.is(one.take(), 1);
  t.is(one.take(), undefined);
  t.deepEqual(sent, []);
  one.repeat();
  t.deepEqual(sent, [1]);
  one.close();
});
