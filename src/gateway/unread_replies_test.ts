/** @module */

import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import * as telemetry from "../telemetry/mod.ts";
import * as replies from "./reply.ts";
import * as unreadReplies from "./unread_replies.ts";

const MEGABYTE = 1_000_000;

/** Replies of a host with 80 MB of memory, of which they may take 10, or with
 * none given. */
function createReplies(memory: number | undefined = 80 * MEGABYTE) {
  const actions: (() => void)[] = [];
  const counted: string[] = [];
  const gauges: number[] = [];
  const aborted: string[] = [];
  const unread = unreadReplies.UnreadReplies.create({
    memory,
    afterTurn: (action) => void actions.push(action),
    metrics: {
      ...telemetry.noMetrics,
      count: (name) => counted.push(name),
      gauge: (_, value) => gauges.push(value),
    },
  });
  const reply = (name: string) => ({
    unreadBytes: 0,
    abortUnread: (bytes: number) => void aborted.push(`${name} ${bytes}`),
  });
  const hold = (held: ReturnType<typeof reply>, megabytes: number) => {
    held.unreadBytes = megabytes * MEGABYTE;
    unread.update(held);
  };
  const endTurn = () => actions.splice(0).forEach((action) => action());
  return { unread, reply, hold, endTurn, counted, gauges, aborted };
}

test("the largest replies are aborted until the sum is below the bound", (t) => {
  const { unread, reply, hold, endTurn, counted, aborted } = createReplies();
  const replies = [1, 5, 3, 4, 2].map((megabytes) => {
    const held = reply(`${megabytes}`);
    hold(held, megabytes);
    return held;
  });
  endTurn();
  t.deepEqual(aborted, ["5 5000000"]);
  t.is(unread.sum, 10 * MEGABYTE, "at the bound nothing is aborted");
  hold(replies[0], 2);
  endTurn();
  t.deepEqual(aborted, ["5 5000000", "4 4000000"]);
  t.deepEqual(counted, ["gateway.aborted_slow", "gateway.aborted_slow"]);
});

// Guards against aborts of replies to callers that read: right after a large
// answer is written, all of it is still with the host.
test("bytes that are taken within the turn are not unread", (t) => {
  const { reply, hold, endTurn, aborted, gauges } = createReplies();
  const quick = reply("quick");
  hold(quick, 60);
  hold(quick, 0);
  endTurn();
  t.deepEqual(aborted, []);
  t.deepEqual(gauges, [0]);
});

test("bytes that a caller reads, and replies that end, no longer count", (t) => {
  const { unread, reply, hold, endTurn, aborted, gauges } = createReplies();
  const [slow, gone] = [reply("slow"), reply("gone")];
  hold(slow, 6);
  hold(gone, 4);
  endTurn();
  hold(slow, 2);
  unread.remove(gone);
  unread.remove(gone);
  endTurn();
  hold(reply("next"), 8);
  endTurn();
  t.deepEqual(aborted, []);
  t.deepEqual(gauges.map((bytes) => bytes / MEGABYTE), [10, 2, 10]);
});

// Guards against a count that stays too high: the end of an aborted reply is
// also recorded.
test("an aborted reply counts once", (t) => {
  const { unread, reply, hold, endTurn, aborted } = createReplies();
  const slow = reply("slow");
  hold(slow, 11);
  endTurn();
  unread.remove(slow);
  t.is(unread.sum, 0);
  t.is(aborted.length, 1);
});

test("a host without a given memory aborts nothing", (t) => {
  const { unread, reply, hold, endTurn, aborted, gauges } = createReplies(
    Infinity,
  );
  hold(reply("slow"), 100_000);
  endTurn();
  t.deepEqual([aborted, gauges], [[], [100_000 * MEGABYTE]]);
  t.like(unread.dump(), { unreadBytes: 100_000 * MEGABYTE, replies: 1 });
});

// Guards against bytes that are counted for good: Node tells a response that
// waits behind another one nothing of the end of its connection.
test("a reply behind another one is forgotten with its connection", async (t) => {
  const { unread } = createReplies();
  const closed = new Promise<void>((resolve) => {
    let number = 0;
    const server = http.createServer((request, response) => {
      const reply = replies.Reply.create({
        request,
        response,
        unreadReplies: unread,
        closesConnection: () => false,
        isLast: () => true,
        onEarlyRefusal() {},
        onCloseDelimited() {},
        onAbortUnread() {},
      });
      if (number++ === 0) return;
      const head = { status: 200, isNotRun: false, isMisdirected: false };
      reply.startStream({ ...head, lacksInput: false, headers: {} });
      reply.write(Buffer.alloc(100_000));
      t.true(unread.sum >= 100_000);
      request.socket.once("close", () => setImmediate(resolve));
      caller.destroy();
    });
    t.teardown(() => server.close());
    let caller: net.Socket;
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      caller = net.connect(port, "127.0.0.1");
      caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".repeat(2));
    });
  });
  await closed;
  t.is(unread.sum, 0);
});
