/** Answers without a length that end while a part of the upload is unread, as callers
 * see them.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n";
const FIRST = "id: 1\ndata: 1\n\n";
const SECOND = "id: 2\ndata: 2\n\n";
const UPLOAD = "x".repeat(900_000);
const CHUNK_LENGTH = 50_000;

/** Ends behind an answer while the upload is unread. */
const ENDS: Record<string, (socket: net.Socket) => unknown> = {
  "an end": (socket) => socket.end(),
  "an end and a reset": (socket) =>
    socket.end(async () => {
      await timers.setTimeout(5);
      socket.resetAndDestroy();
    }),
};

/** Requests with the upload, by its framing. */
const REQUESTS: Record<string, string> = {
  "with a length": requestOf(`content-length: ${UPLOAD.length}`, UPLOAD),
  "in chunks": requestOf("transfer-encoding: chunked", chunksOf(UPLOAD)),
};

function requestOf(line: string, body: string): string {
  return "POST /a/x HTTP/1.1\r\nhost: host.example\r\n" +
    `connection: close\r\n${line}\r\n\r\n${body}`;
}

function chunksOf(body: string): string {
  let text = "";
  for (let pos = 0; pos < body.length; pos += CHUNK_LENGTH) {
    const part = body.slice(pos, pos + CHUNK_LENGTH);
    text += `${part.length.toString(16)}\r\n${part}\r\n`;
  }
  return `${text}0\r\n\r\n`;
}

/** Starts a host whose endpoint answers the head of the first call and ends its
 * connection, and reads later calls before it answers them. */
async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  { answer, end, next }: {
    answer: string;
    end(socket: net.Socket): unknown;
    next: string;
  },
) {
  const resumedAfter: unknown[] = [];
  const endpoint = ({ headers, socket }: http.IncomingMessage) => {
    resumedAfter.push(headers["test-resume-after"]);
    if (resumedAfter.length === 1) {
      socket.write(`${HEAD}\r\n${answer}`, () => void end(socket));
    }
  };
  const host = await fixture.startHost(
    t,
    { stages: [], attempts: 3, timeout: 3000, ...route },
    (request, response) => {
      endpoint(request);
      if (resumedAfter.length === 1) return;
      request.resume().once("end", () => {
        response.setHeader("test-signature", "s");
        response.end(next);
      });
    },
  );
  fixture.distinguishResets(t, host);
  return { host, resumedAfter };
}

for (const [name, end] of Object.entries(ENDS)) {
  for (const [framing, request] of Object.entries(REQUESTS)) {
    // Guards against a part of an answer that its caller takes for the whole.
    test(`an unsafe upload ${framing} whose answer breaks off early with ${name} is refused with 502`, async (t) => {
      const answer = { answer: "part", end, next: "whole" };
      const { host, resumedAfter } = await startHost(
        t,
        { kind: "unsafe" },
        answer,
      );
      const reply = await callerFixture.exchange(host.gatewayAddress, request);
      t.regex(reply.text, /^HTTP\/1\.1 502 /);
      t.is(resumedAfter.length, 1);
    });

    test(`a safe upload ${framing} whose answer breaks off early with ${name} is called again`, async (t) => {
      const answer = { answer: "part", end, next: "whole" };
      const { host } = await startHost(t, { kind: "safe" }, answer);
      const reply = await callerFixture.exchange(host.gatewayAddress, request);
      t.regex(reply.text, /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
    });
  }

  // Guards against a stream that ends as complete with the events before.
  test(`a stream that breaks off early with ${name} goes on behind its last event`, async (t) => {
    const { host, resumedAfter } = await startHost(t, {
      ...fixture.STREAM,
      stages: [],
    }, { answer: FIRST, end, next: SECOND });
    const reply = await callerFixture.send(host.gatewayAddress, {
      body: UPLOAD,
    });
    t.like(reply, { status: 200, body: FIRST + SECOND, isComplete: true });
    t.deepEqual(resumedAfter, [undefined, "1"]);
  });
}
