import * as http from "node:http";
import test from "ava";
import * as ws from "ws";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as fixture from "./fixture.ts";
import * as frames from "./frame.ts";
import * as peers from "./mod.ts";
import * as handshake from "./handshake.ts";
import * as sendQueue from "./send_queue.ts";
import * as tcpProxy from "./tcp_proxy.ts";

const POLL_INTERVAL_MS = 5;
const { until } = fixture;

interface Node {
  peers: peers.Peers;
  received: runtime.Envelope[];
  tally: telemetry.Tally;
  clock: runtime.FakeClock;
}

/** Starts a host on a free port that knows the hosts `others`. */
async function createNode(
  self: string,
  others: readonly peers.Host[],
  changes: Partial<peers.PeersOptions> = {},
): Promise<Node> {
  const received: runtime.Envelope[] = [];
  const tally = new telemetry.Tally();
  const clock = new runtime.FakeClock();
  const own = { id: self, address: "127.0.0.1", port: 0 };
  const node = peers.Peers.create({
    self,
    hosts: [own, ...others],
    key: "secret",
    validators: { control: (body) => !("bad" in (body as object)) },
    clock,
    metrics: tally,
    onEnvelope: (envelope) => received.push(envelope),
    ...changes,
  });
  await node.start();
  return { peers: node, received, tally, clock };
}

function hostAt(id: string, port: number): peers.Host {
  return { id, address: "127.0.0.1", port };
}

function envelopeTo(to: string, body: object): runtime.Envelope {
  return { from: "a", to, channel: "control", body };
}

async function createPair(changes: Partial<peers.PeersOptions> = {}) {
  const b = await createNode("b", [hostAt("a", 0)]);
  const a = await createNode("a", [hostAt("b", b.peers.port)], changes);
  const stop = () => Promise.all([a.peers.stop(), b.peers.stop()]);
  return { a, b, stop };
}

test("delivers in order and takes the sender from the connection", async (t) => {
  const { a, b, stop } = await createPair();
  const bodies = Array.from({ length: 500 }, (_, pos) => ({ pos }));
  for (const body of bodies) {
    a.peers.send({ ...envelopeTo("b", body), from: "forged" });
  }
  await until(() => b.received.length === bodies.length);
  t.deepEqual(b.received.map(({ body }) => body), bodies);
  t.true(b.received.every(({ from, to }) => from === "a" && to === "b"));
  await stop();
});

test("drops invalid messages and messages to unknown channels and hosts", async (t) => {
  const { a, b, stop } = await createPair();
  a.peers.send(envelopeTo("b", { bad: 1 }));
  a.peers.send({ ...envelopeTo("b", {}), channel: "log" });
  a.peers.send(envelopeTo("c", {}));
  a.peers.send(envelopeTo("b", { good: 1 }));
  await until(() => b.received.length === 1);
  t.is(b.tally.total("peer.dropped"), 2);
  t.is(a.tally.total("peer.dropped"), 1);
  await stop();
});

test("delivers messages of a host to itself", async (t) => {
  const { a, stop } = await createPair();
  a.peers.send(envelopeTo("a", { self: 1 }));
  t.is(a.received.length, 0);
  await until(() => a.received.length === 1);
  await stop();
});

const UNTRUSTED_HOSTS: [string, Partial<peers.PeersOptions>][] = [
  ["another key", { key: "guess" }],
  ["no key", { key: undefined }],
];

for (const [name, changes] of UNTRUSTED_HOSTS) {
  test(`refuses a host with ${name}, and counts it`, async (t) => {
    const { a, b, stop } = await createPair(changes);
    a.peers.send(envelopeTo("b", {}));
    await until(() => b.tally.total("peer.refused") > 1);
    t.is(b.received.length, 0);
    t.is(a.tally.total("peer.connected"), 0);
    await stop();
  });
}

test("refuses a host that is not in the list and a client without headers", async (t) => {
  const b = await createNode("b", []);
  const a = await createNode("a", [hostAt("b", b.peers.port)]);
  a.peers.send(envelopeTo("b", {}));
  const bare = new ws.WebSocket(`ws://127.0.0.1:${b.peers.port}`);
  bare.on("error", () => {});
  await until(() => b.tally.total("peer.refused") > 1);
  await until(() => bare.readyState === ws.WebSocket.CLOSED);
  t.is(b.received.length, 0);
  await Promise.all([a.peers.stop(), b.peers.stop()]);
});

test("replaces a connection that has become silent", async (t) => {
  const b = await createNode("b", [hostAt("a", 0)]);
  const relay = await tcpProxy.TcpProxy.create(() => b.peers.port);
  const a = await createNode("a", [hostAt("b", relay.port)]);
  a.peers.send(envelopeTo("b", { pos: 1 }));
  await until(() => b.received.length === 1);
  relay.blackhole();
  a.peers.send(envelopeTo("b", { pos: 2 }));
  await new Promise((done) => setImmediate(done));
  a.clock.advance(1500);
  t.is(a.tally.total("peer.silent"), 1);
  a.peers.send(envelopeTo("b", { pos: 3 }));
  await until(() => b.received.length === 2);
  t.deepEqual(b.received.map(({ body }) => body), [{ pos: 1 }, { pos: 3 }]);
  t.is(relay.connections, 2);
  await Promise.all([a.peers.stop(), b.peers.stop()]);
  await relay.close();
});

test("a host does not replace a connection because it was paused itself", async (t) => {
  const clock = new runtime.FakeClock();
  let paused = 0;
  const skewed: runtime.Clock = {
    now: () => clock.now() + paused,
    wall: () => clock.wall(),
    after: (delay, callback) => clock.after(delay, callback),
  };
  const { a, b, stop } = await createPair({ clock: skewed });
  a.peers.send(envelopeTo("b", {}));
  await until(() => b.received.length === 1);
  a.peers.send(envelopeTo("b", {}));
  await Promise.resolve();
  paused = 1500;
  clock.advance(250);
  t.is(a.tally.total("peer.silent"), 0);
  clock.advance(250);
  t.is(a.tally.total("peer.silent"), 1);
  await stop();
});

test("probes an idle connection and closes it after the idle timeout", async (t) => {
  const { a, b, stop } = await createPair();
  const dump = () => JSON.stringify(a.peers.dump());
  const answered = () => until(() => !/"underWay":[1-9]/.test(dump()));
  a.peers.send(envelopeTo("b", {}));
  await until(() => b.received.length === 1);
  await answered();
  a.clock.advance(4999);
  t.regex(dump(), /"batches":1\D/);
  a.clock.advance(1);
  t.regex(dump(), /"batches":2\D/);
  while (a.clock.now() < 60_000) {
    await answered();
    a.clock.advance(250);
  }
  t.notRegex(dump(), /batches/);
  t.is(a.tally.total("peer.silent"), 0);
  await stop();
});

test("delivers messages again after a host has restarted", async (t) => {
  const { a, b } = await createPair();
  a.peers.send(envelopeTo("b", { pos: 1 }));
  await until(() => b.received.length === 1);
  const { port } = b.peers;
  await b.peers.stop();
  const back = await createNode("b", [hostAt("a", 0)], {
    hosts: [hostAt("b", port), hostAt("a", 0)],
  });
  a.peers.send(envelopeTo("b", { pos: 2 }));
  let pos = 2;
  while (back.received.length === 0) {
    a.peers.send(envelopeTo("b", { pos: ++pos }));
    await new Promise((done) => setTimeout(done, POLL_INTERVAL_MS));
  }
  t.pass();
  await Promise.all([a.peers.stop(), back.peers.stop()]);
});

test("a queue is limited in bytes and age and drops the oldest messages", (t) => {
  const drops: string[] = [];
  const size = frames.encodeMessage({ channel: "control", body: { pos: 0 } })
    .length;
  const bounds = {
    maxBytes: 5 * size,
    maxMessageBytes: 100,
    maxBatchBytes: 100,
    maxAgeMs: 1000,
  };
  const waiting = sendQueue.SendQueue.create(
    bounds,
    (reason) => drops.push(reason),
  );
  for (let pos = 0; pos < 5; pos++) {
    waiting.push({ channel: "control", body: { pos } }, { now: pos * 100 });
  }
  t.deepEqual(drops, []);
  waiting.push({ channel: "control", body: { text: "x".repeat(80) } }, {
    now: 500,
  });
  t.deepEqual(drops, ["too-large"]);
  waiting.push({ channel: "control", body: { pos: 5 } }, { now: 500 });
  t.is(waiting.bytes, 5 * size);
  t.deepEqual(drops, ["too-large", "queue-full"]);
  const { messages } = waiting.take({ now: 1150 });
  const bodies = messages.map((text) => JSON.parse(text).body);
  t.deepEqual(bodies, [{ pos: 2 }, { pos: 3 }]);
  t.is(drops.at(-1), "stale");
});

test("a queue drops messages for another incarnation of the receiver", (t) => {
  // Guards against replies that a successor takes for its own.
  const drops: string[] = [];
  const bounds = {
    maxBytes: 1000,
    maxMessageBytes: 100,
    maxBatchBytes: 1000,
    maxAgeMs: 1000,
  };
  const taken = (incarnation?: string) => {
    const waiting = sendQueue.SendQueue.create(
      bounds,
      (reason) => drops.push(reason),
    );
    for (const [pos, receiver] of ["1a", undefined, "2b"].entries()) {
      const message = { channel: "control", body: { pos } };
      waiting.push(message, { now: 0, incarnation: receiver });
    }
    const { messages } = waiting.take({ now: 0, incarnation });
    return messages.map((text) => JSON.parse(text).body.pos);
  };
  t.deepEqual([taken("1a"), taken("2b"), taken("3c"), taken()], [
    [0, 1],
    [1, 2],
    [1],
    [1],
  ]);
  t.deepEqual(drops, Array(6).fill("former-incarnation"));
});

test("a connection of a restarted host ends those of its former process", async (t) => {
  // Guards against messages of a former process that are read after those of
  // its successor.
  const b = await createNode("b", [hostAt("a", 0), hostAt("c", 0)]);
  const connect = async (from: string, incarnation?: string) => {
    const socket = new ws.WebSocket(`ws://127.0.0.1:${b.peers.port}`, {
      headers: handshake.headersFor({ from, to: "b" }, {
        key: "secret",
        incarnation,
      }),
    });
    socket.on("error", () => {});
    await new Promise((resolve) => socket.on("open", resolve));
    return socket;
  };
  const former = [await connect("a"), await connect("a", "1a")];
  const kept = [await connect("c", "1a"), await connect("a", "2b")];
  await until(() =>
    former.every(({ readyState }) => readyState === ws.WebSocket.CLOSED)
  );
  const message = frames.encodeMessage({ channel: "control", body: {} });
  for (const socket of kept) socket.send(frames.encode(0, [message]));
  await until(() => b.received.length === kept.length);
  t.deepEqual(
    b.received.map(({ from, fromIncarnation }) => [from, fromIncarnation]),
    [["c", "1a"], ["a", "2b"]],
  );
  for (const socket of kept) socket.terminate();
  await b.peers.stop();
});

test("a frame decodes to what was encoded", (t) => {
  const batch = [
    { channel: "control", body: { text: 'quote " and \u2028' } },
    { channel: "log", body: {} },
  ];
  const text = frames.encode(7, batch.map(frames.encodeMessage));
  t.deepEqual(frames.decode(text), { id: 7, batch });
  t.deepEqual(frames.decode(frames.encode(8, [])), { id: 8, batch: [] });
});

test("an invalid frame terminates its connection but not the host", async (t) => {
  const open = await createNode("b", [hostAt("a", 0)], { key: undefined });
  for (const text of ["", "{", "[]", '{"id":-1,"batch":[]}', '{"id":1}']) {
    const url = `ws://127.0.0.1:${open.peers.port}`;
    const headers = handshake.headersFor({ from: "a", to: "b" }, {});
    const socket = new ws.WebSocket(url, { headers });
    socket.on("error", () => {});
    socket.on("open", () => socket.send(text));
    await new Promise((resolve) => socket.on("close", resolve));
  }
  t.is(open.received.length, 0);
  await open.peers.stop();
});

/** Asks a host how a tunnel has ended; resolves with the status, or undefined if
 * there is no answer. */
function askHowEnded(
  { address, port, headers }: peers.DialAddress,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const path = `${peers.TUNNEL_END_PATH}some`;
    http.get({ host: address, port, path, headers, agent: false })
      .on("response", (response) => {
        response.resume();
        resolve(response.statusCode);
      })
      .on("error", () => resolve(undefined));
  });
}

/** Starts a host, and another one that may ask it how tunnels have ended. */
async function createAskedPair(hasEnded: () => Promise<boolean>) {
  const asked = await createNode("b", [hostAt("a", 0)], {
    tunnels: { accept() {}, hasEnded },
  });
  const asker = await createNode("a", [hostAt("b", asked.peers.port)]);
  return { asked, asker, dialAddress: asker.peers.dialAddress("b")! };
}

// Guards against a host that ends because it fails to answer another one.
test("a question that fails is answered with a status of its own", async (t) => {
  const { asked, asker, dialAddress } = await createAskedPair(() =>
    Promise.reject(new Error("no answer"))
  );
  t.is(await askHowEnded(dialAddress), 500);
  await Promise.all([asked.peers.stop(), asker.peers.stop()]);
});

test("a question that is answered after the host has stopped gets no answer", async (t) => {
  let answer = (_hasEnded: boolean) => {};
  let isAsked = false;
  const { asked, asker, dialAddress } = await createAskedPair(() => {
    isAsked = true;
    return new Promise((resolve) => answer = resolve);
  });
  const status = askHowEnded(dialAddress);
  await until(() => isAsked);
  await asked.peers.stop();
  answer(true);
  t.is(await status, undefined);
  await asker.peers.stop();
});
