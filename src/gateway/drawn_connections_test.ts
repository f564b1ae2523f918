/** Connections of callers with drawn requests of both versions, answers of every
 * framing, and ends of either side.
 * @module */

import type * as http from "node:http";
import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as connector from "../endpoint_calls/connector.ts";
import * as runtime from "../runtime/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const FIRST_SEED = 1;
const SEED_COUNT = 12;
/** Connections a seed, all open at once. */
const CONNECTIONS = 40;
/** Least part of the connections of a seed with a whole reply: otherwise the test
 * shows little. */
const MIN_WHOLE_SHARE = 0.3;
/** Milliseconds within which endpoints answer, and callers end. */
const MAX_PAUSE_MS = 80;
/** Milliseconds after which a connection must have ended. */
const PATIENCE_MS = 6000;

const PATH = "/a/";
const KINDS = ["streaming", "unsafe", "safe"] as const;
const FRAMINGS = ["length", "chunked", "connection", "identity"] as const;
const STATUSES = [200, 200, 200, 200, 200, 404, 500, 204, 304];

/** A request whose body does not come. */
const INCOMPLETE =
  "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nxx";
const TAILS = [
  "what is no request\r\n\r\n",
  "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
  "POST /a/x HT",
  INCOMPLETE,
  "\r\n",
];

/** An endpoint's answer. */
interface Answer {
  readonly status: number;
  readonly framing: typeof FRAMINGS[number];
  /** Parts of the whole body, and milliseconds before each. */
  readonly parts: readonly string[];
  readonly pauses: readonly number[];
  /** Parts after which the connection is reset; all when absent. */
  readonly cutAfter?: number;
}

/** A request and its answer. */
interface Request {
  readonly id: string;
  readonly method: "POST" | "GET" | "HEAD";
  readonly version: "1.0" | "1.1";
  readonly connection?: "keep-alive" | "close";
  /** Whether its caller says that it reads chunks. */
  readonly takesChunks: boolean;
  readonly answer: Answer;
}

/** A caller's connection. */
interface Connection {
  readonly kind: typeof KINDS[number];
  readonly requests: readonly Request[];
  /** What is sent behind the requests and is none that is passed on. */
  readonly tail: string;
  /** Milliseconds between two requests. */
  readonly gap: number;
  /** Milliseconds after which the caller ends its side; never when absent. */
  readonly endAfter?: number;
  /** Milliseconds after which the host stops; never when absent. */
  readonly stopAfter?: number;
}

function drawAnswer(random: runtime.Random, id: string): Answer {
  const count = 1 + random.below(3);
  const parts = Array.from(
    { length: count },
    (_, index) => `id: ${index}\ndata: ${id}\n\n`,
  );
  const status = STATUSES[random.below(STATUSES.length)];
  // Calls take the length of an answer without a body for a mismatch.
  const framings = status === 204 || status === 304
    ? FRAMINGS.filter((each) => each !== "length")
    : FRAMINGS;
  return {
    status,
    framing: framings[random.below(framings.length)],
    parts,
    pauses: parts.map(() =>
      random.next() < 0.5 ? 0 : random.below(MAX_PAUSE_MS)
    ),
    ...(random.next() < 0.3 && { cutAfter: random.below(count + 1) }),
  };
}

function drawConnection(random: runtime.Random, name: string): Connection {
  const version = random.next() < 0.5 ? "1.0" : "1.1";
  const requests = Array.from({ length: 1 + random.below(3) }, (_, index) => {
    const id = `${name}-${index}`;
    const connection = random.next() < 0.5
      ? undefined
      : random.next() < (version === "1.0" ? 0.9 : 0.2)
      ? "keep-alive"
      : "close";
    const method = random.next() < 0.7
      ? "POST"
      : random.next() < 0.5
      ? "GET"
      : "HEAD";
    const takesChunks = random.next() < 0.15;
    const answer = drawAnswer(random, id);
    return { id, method, version, connection, takesChunks, answer } as const;
  });
  return {
    kind: KINDS[random.below(KINDS.length)],
    requests,
    tail: random.next() < 0.7 ? "" : TAILS[random.below(TAILS.length)],
    gap: random.next() < 0.5 ? 0 : random.below(MAX_PAUSE_MS),
    ...(random.next() < 0.25 && { endAfter: random.below(2 * MAX_PAUSE_MS) }),
    ...(random.next() < 0.25 && { stopAfter: random.below(2 * MAX_PAUSE_MS) }),
  };
}

const lines: Record<Answer["framing"], (body: string) => string> = {
  length: (body) => `Content-Length: ${body.length}\r\n`,
  chunked: () => "Transfer-Encoding: chunked\r\n",
  connection: () => "",
  identity: () => "Transfer-Encoding: identity\r\n",
};

function hasBody({ method, answer: { status } }: Request): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

/** Sends an answer as an endpoint. */
async function answer(socket: net.Socket, request: Request): Promise<void> {
  const { status, framing, parts, pauses, cutAfter } = request.answer;
  socket.on("error", () => {});
  const head = lines[framing](parts.join(""));
  socket.write(
    `HTTP/1.1 ${status} Any\r\ntest-signature: s\r\nConnection: close\r\n` +
      `${head}\r\n`,
  );
  const sent = hasBody(request) ? parts : [];
  for (const [index, part] of sent.entries()) {
    await fixture.pause(pauses[index]);
    if (index === cutAfter) return void socket.resetAndDestroy();
    const size = part.length.toString(16);
    socket.write(framing === "chunked" ? `${size}\r\n${part}\r\n` : part);
  }
  if (cutAfter === sent.length && sent.length > 0) {
    await fixture.pause(MAX_PAUSE_MS / 4);
    return void socket.resetAndDestroy();
  }
  socket.end(framing === "chunked" && sent.length > 0 ? "0\r\n\r\n" : "");
}

/** Starts a host before an endpoint that answers as requests ask for it. */
async function startHost(
  t: ava.ExecutionContext,
  kind: configurations.Route["kind"],
  requests: ReadonlyMap<string, Request>,
) {
  const begun = new Set<string>();
  const route = { kind, objective: 2000, timeout: 5000, attempts: 1 };
  const handle: http.RequestListener = ({ url = "", socket }) => {
    const id = url.slice(PATH.length);
    begun.add(id);
    void answer(socket, requests.get(id)!);
  };
  const host = await fixture.startHost(t, { ...route, stages: [] }, handle);
  fixture.distinguishResets(t, host);
  return { host, begun };
}

/** What a caller sees of its connection. */
interface Seen {
  readonly text: string;
  readonly end: connector.ConnectionEnd | "none";
}

/** Plays a connection; resolves once it has ended. */
function play(
  server: { port: number; finish(ms: number): Promise<void>; stop(): unknown },
  { requests, tail, gap, endAfter, stopAfter }: Connection,
): Promise<Seen> {
  const socket = net.connect({
    port: server.port,
    host: "127.0.0.1",
    allowHalfOpen: true,
  });
  let text = "";
  socket.on("data", (part) => text += part.toString("latin1"));
  const send = async () => {
    for (const { id, method, version, ...about } of requests) {
      if (!socket.writable || socket.writableEnded) return;
      const { connection, takesChunks } = about;
      const headers = {
        ...(connection && { connection }),
        ...(takesChunks && { te: "chunked" }),
      };
      const path = PATH + id;
      socket.write(callerFixture.textOf({ method, path, version, headers }));
      await fixture.pause(gap);
    }
    if (socket.writable) socket.write(tail);
  };
  void send();
  const endSide = () => void socket.end();
  if (endAfter !== undefined) fixture.clock.after(endAfter, endSide);
  if (stopAfter !== undefined) {
    fixture.clock.after(
      stopAfter,
      () => void server.finish(0).then(() => server.stop()),
    );
  }
  // A connection that may be kept ends with its caller's side.
  const cancel = fixture.clock.after(PATIENCE_MS / 4, endSide);
  return new Promise((resolve) => {
    const finish = (end: Seen["end"]) => {
      cancel();
      resolve({ text, end });
      socket.destroy();
    };
    fixture.clock.after(PATIENCE_MS, () => finish("none"));
    socket.on("error", () => finish("reset"));
    socket.on("end", () => {
      // Bytes that come at once with a reset hide it from Node. Where the caller
      // sent bytes behind the end of its connection, the probe would fail.
      if (socket.writableEnded || stopAfter === undefined) {
        return finish("orderly");
      }
      void connector.endsInOrder(socket).then((isInOrder) =>
        finish(isInOrder ? "orderly" : "reset")
      );
    });
  });
}

/** Faults of what a caller saw, and the number of whole replies. */
function judge(
  connection: Connection,
  { text, end }: Seen,
  begun: ReadonlySet<string>,
) {
  const { requests, tail, endAfter, stopAfter } = connection;
  const isDisturbed = endAfter !== undefined || stopAfter !== undefined;
  const faults: string[] = end === "none" ? ["open"] : [];
  const texts = text.split(/(?=HTTP\/1\.1 )/).filter((each) => each !== "");
  let whole = 0;
  let isBroken = false;
  for (const [index, request] of requests.entries()) {
    const { id, method, answer: { status, parts, cutAfter, framing } } =
      request;
    const wasBegun = begun.has(id);
    if (texts[index] === undefined) {
      if (wasBegun && !isBroken && stopAfter === undefined) {
        faults.push(`${id} lost`);
      }
      continue;
    }
    const isLast = index === texts.length - 1;
    const reply = callerFixture.parse(texts[index], {
      method,
      connectionEnd: isLast && end !== "none" ? end : undefined,
    });
    isBroken ||= !reply.isComplete;
    const isRefused = reply.headers["content-type"] ===
      "application/problem+json";
    if (isRefused && isDisturbed) continue;
    const body = hasBody(request) ? parts.join("") : "";
    const isCut = cutAfter !== undefined && hasBody(request);
    const isAnswered = reply.isComplete && !isRefused;
    if (method === "HEAD" && !isRefused) {
      const length = reply.headers["content-length"];
      if (length !== undefined) faults.push(`${id} length ${length}`);
    }
    if (isAnswered) {
      whole++;
      if (!wasBegun || reply.status !== status) faults.push(`${id} status`);
      if (reply.body !== body) faults.push(`${id} short`);
      if (isCut && framing !== "length") faults.push(`${id} cut, whole`);
    } else if (!isCut && !isDisturbed) {
      // The connection of an answer without an end can't close before a reply
      // behind it.
      const isUndelimited = framing === "connection" || framing === "identity";
      const isBehind = index < requests.length - 1 || tail === INCOMPLETE;
      const mayRefuse = isUndelimited && isBehind ||
        !hasBody(request) && connection.kind === "streaming";
      if (!isRefused || !mayRefuse) faults.push(`${id} not whole`);
    }
  }
  return { faults, whole };
}

// Guards against replies that look whole to their callers and are not, requests
// that are passed on and not answered, and whole answers that do not arrive.
for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
  test(`callers can trust the replies on drawn connections, seed ${seed}`, async (t) => {
    const random = runtime.createRandom(seed);
    const connections = Array.from(
      { length: CONNECTIONS },
      (_, index) => drawConnection(random, `${seed}-${index}`),
    );
    const requests = new Map(
      connections.flatMap(({ requests }) => requests)
        .map((each) => [each.id, each]),
    );
    const hosts = new Map(
      await Promise.all(
        KINDS.map(async (kind) =>
          [kind, await startHost(t, kind, requests)] as const
        ),
      ),
    );
    const results = await Promise.all(connections.map(async (connection) => {
      const { host, begun } = hosts.get(connection.kind)!;
      const server = await fixture.startServer(t, host);
      // Node's time passes beside that of the test.
      server.setTimeouts({ headerTimeout: 60_000, idleTimeout: 15_000 });
      const seen = await play(server, connection);
      const result = judge(connection, seen, begun);
      if (result.faults.length > 0) {
        t.log(result.faults, JSON.stringify(connection), seen);
      }
      return result;
    }));
    t.deepEqual(results.flatMap(({ faults }) => faults), []);
    const served = results.filter(({ whole }) => whole > 0).length;
    t.true(served >= MIN_WHOLE_SHARE * CONNECTIONS, `${served} served`);
  });
}
