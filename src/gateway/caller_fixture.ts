/** A caller for tests that reads replies as bytes, and tells a reset from an
 * orderly end: undici takes a reset behind a reply without a length for its end.
 * @module */

import * as net from "node:net";
import * as connector from "../endpoint_calls/connector.ts";

/** A reply as its caller gets it. */
export interface RawReply {
  /** Absent if no whole head came. */
  readonly status?: number;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Without the framing of chunks. */
  readonly body: string;
  /** What marks the end of the reply. */
  readonly framing: "length" | "chunked" | "connection";
  /** How the connection ended; absent if it is still open. */
  readonly connectionEnd?: connector.ConnectionEnd;
  /** Whether its caller has to take it for whole. */
  readonly isComplete: boolean;
}

/** A request as it is sent. */
export interface RawRequest {
  readonly method?: string;
  readonly path?: string;
  readonly version?: "1.0" | "1.1";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Text of a request. */
export function textOf(
  { method = "POST", path = "/a/x", version = "1.1", headers, body = "" }:
    RawRequest,
): string {
  const lines = Object.entries({
    host: "host.example",
    "content-length": `${body.length}`,
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/${version}\r\n${lines.join("")}\r\n${body}`;
}

/** How a caller reads. */
export interface Manner {
  /** It reads nothing between the first bytes of the reply and this. */
  readonly readAfter?: Promise<unknown>;
  /** Called with the first bytes of the reply. */
  onBegin?(): void;
}

/** Sends a request to an address (host and port) on a connection of its own;
 * resolves once the reply or the connection has ended. */
export function send(
  address: string,
  request: RawRequest,
  { readAfter, onBegin }: Manner = {},
): Promise<RawReply> {
  return new Promise((resolve) => {
    const parts: string[] = [];
    let length = 0;
    // Large replies are not parsed again with each part.
    let mayEnd: (part: string) => boolean = () => true;
    const socket = connect(address);
    const finish = (connectionEnd?: connector.ConnectionEnd) => {
      const text = parts.join("");
      resolve(parse(text, { connectionEnd, method: request.method }));
      socket.destroy();
    };
    socket.once("data", () => {
      onBegin?.();
      if (readAfter !== undefined) void pauseUntil(socket, readAfter);
    });
    socket.on("data", (part) => {
      parts.push(part.toString("latin1"));
      length += part.length;
      if (!mayEnd(parts.slice(-4).join(""))) return;
      const text = parts.join("");
      const reply = parse(text, { method: request.method });
      if (reply.isComplete) return finish();
      if (reply.status === undefined) return;
      const whole = text.indexOf("\r\n\r\n") + 4 +
        Number(reply.headers["content-length"] ?? 0);
      const ends: Record<RawReply["framing"], typeof mayEnd> = {
        connection: () => false,
        length: () => length >= whole,
        chunked: (last) => last.endsWith("\r\n\r\n"),
      };
      mayEnd = ends[reply.framing];
    });
    socket.on("error", () => finish("reset"));
    socket.on("end", () => void endOf(socket).then(finish));
    socket.write(textOf(request));
  });
}

/** Sends text on one connection; resolves with all that comes until it ends, and
 * how it ends. `onData` is called with what has come so far. The end of a
 * connection whose caller has ended its side can't be probed. */
export function exchange(
  address: string,
  sent: string,
  { onData, probesEnd = true }: {
    onData?(socket: net.Socket, received: string): void;
    probesEnd?: boolean;
  } = {},
): Promise<{ text: string; connectionEnd: connector.ConnectionEnd }> {
  return new Promise((resolve) => {
    let text = "";
    const socket = connect(address);
    const finish = (connectionEnd: connector.ConnectionEnd) => {
      resolve({ text, connectionEnd });
      socket.destroy();
    };
    socket.on("data", (part) => {
      text += part.toString("latin1");
      onData?.(socket, text);
    });
    socket.on("error", () => finish("reset"));
    socket.on("end", () => {
      if (probesEnd) void endOf(socket).then(finish);
      else finish("orderly");
    });
    socket.write(sent);
  });
}

async function pauseUntil(
  socket: net.Socket,
  readAfter: Promise<unknown>,
): Promise<void> {
  socket.pause();
  await readAfter;
  socket.resume();
}

function connect(address: string): net.Socket {
  const [host, port] = address.split(":");
  return net.connect({ host, port: Number(port), allowHalfOpen: true });
}

async function endOf(socket: net.Socket): Promise<connector.ConnectionEnd> {
  return await connector.endsInOrder(socket) ? "orderly" : "reset";
}

/** Reads what has come of a reply. */
export function parse(
  text: string,
  { connectionEnd, method }: {
    connectionEnd?: connector.ConnectionEnd;
    method?: string;
  } = {},
): RawReply {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) {
    const framing = "connection";
    return { headers: {}, body: "", framing, connectionEnd, isComplete: false };
  }
  const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const [, name, value] = /^([^:]*): *(.*)$/.exec(line)!;
    return [name.toLowerCase(), value];
  }));
  const status = Number(statusLine.split(" ")[1]);
  const sent = text.slice(headEnd + 4);
  const framing = headers["transfer-encoding"] !== undefined
    ? "chunked"
    : headers["content-length"] !== undefined
    ? "length"
    : "connection";
  const isEmpty = method === "HEAD" || status === 204 || status === 304;
  const { body, hasEnd } = readers[framing](sent, headers["content-length"]);
  const isComplete = isEmpty || hasEnd || connectionEnd === "orderly" &&
      framing === "connection";
  return { status, headers, body, framing, connectionEnd, isComplete };
}

/** Body of a reply by its framing, and whether its end has come. */
const readers: Record<
  RawReply["framing"],
  (sent: string, length: string) => { body: string; hasEnd: boolean }
> = {
  length: (sent, length) => ({
    body: sent.slice(0, Number(length)),
    hasEnd: sent.length >= Number(length),
  }),
  chunked: (sent) => readChunks(sent),
  connection: (body) => ({ body, hasEnd: false }),
};

function readChunks(sent: string): { body: string; hasEnd: boolean } {
  let body = "";
  let pos = 0;
  while (true) {
    const lineEnd = sent.indexOf("\r\n", pos);
    if (lineEnd < 0) return { body, hasEnd: false };
    const size = parseInt(sent.slice(pos, lineEnd), 16);
    const start = lineEnd + 2;
    if (size === 0) return { body, hasEnd: sent.startsWith("\r\n", start) };
    body += sent.slice(start, start + size);
    if (sent.length < start + size + 2) return { body, hasEnd: false };
    pos = start + size + 2;
  }
}
