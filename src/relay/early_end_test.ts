/** Answers without a length that end while a part of the request is unread, through
 * a host that relays.
 * @module */

import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import * as exchangeFixture from "../endpoint_calls/exchange_fixture.ts";
import * as uploadFixture from "../endpoint_calls/upload_fixture.ts";
import type * as peers from "../peers/mod.ts";
import * as fixture from "./fixture.ts";

const KILOBYTE = 1024;
const UPLOADS = [100, 1024, 4096].map((size) => size * KILOBYTE);
const ROUNDS = 5;
const CLOSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
const ANSWER = `${CLOSE}\r\npart`;
const ANSWER_WITH_LENGTH = `${CLOSE}Content-Length: 4\r\n\r\npart`;

const end: uploadFixture.End = (socket) => void socket.end();

/** Ends a connection in order, and resets it some milliseconds later. */
function resetAfter(delayMs: number): uploadFixture.End {
  return (socket) =>
    socket.end(async () => {
      await timers.setTimeout(delayMs);
      socket.resetAndDestroy();
    });
}

function startEndpoint(
  t: ava.ExecutionContext,
  { answer = ANSWER, ...options }: Partial<uploadFixture.EndpointOptions> & {
    end: uploadFixture.End;
  },
): Promise<string> {
  return uploadFixture.startEndpoint(t, { answer, ...options });
}

/** Sends an upload through a relay; resolves with the whole answer, or why there is
 * none. */
async function upload(
  t: ava.ExecutionContext,
  { dialAddress, endpoint, size }: {
    dialAddress: peers.DialAddress;
    endpoint: string;
    size: number;
  },
): Promise<string> {
  const tunnel = await fixture.openTunnel(dialAddress, endpoint);
  connector.prepare(tunnel);
  const dispatcher = new undici.Client("http://endpoint", {
    connect: (_, callback) => setImmediate(() => callback(null, tunnel)),
  });
  t.teardown(() => dispatcher.destroy());
  const url = "http://endpoint";
  const result = await exchangeFixture.send(dispatcher, { url, size });
  return "reason" in result ? result.reason : `whole: ${result.body}`;
}

for (const delayMs of [0, 5, 20]) {
  // Guards against the part of an answer that counts as the whole: the relaying host
  // confirmed the end before the reset behind it arrived.
  test(`an answer to an unread upload through a relaying host is not complete with an end and a reset ${delayMs} ms later`, async (t) => {
    const endpoint = await startEndpoint(t, { end: resetAfter(delayMs) });
    const { dialAddress } = await fixture.startRelay(t);
    for (const size of UPLOADS) {
      for (let round = 0; round < ROUNDS; round++) {
        const answer = await upload(t, { dialAddress, endpoint, size });
        // A reset may discard the head.
        const isBroken = answer === "broken-stream" || answer === "connection";
        t.true(isBroken, `${size} bytes: ${answer}`);
      }
    }
  });
}

// Guards against the same where no reset follows, and against calls that last until
// their deadline: the rest of the upload can't be written.
test("an answer through a relaying host is not complete when its connection ends before the upload is received", async (t) => {
  const endpoint = await startEndpoint(t, { end });
  const { dialAddress } = await fixture.startRelay(t);
  for (const size of [1024 * KILOBYTE, 4096 * KILOBYTE]) {
    for (let round = 0; round < ROUNDS; round++) {
      const answer = await upload(t, { dialAddress, endpoint, size });
      t.is(answer, "broken-stream", `${size} bytes`);
    }
  }
});

// Guards against whole answers that are lost.
test("an answer to an upload that was read is complete through a relaying host", async (t) => {
  const ends: readonly uploadFixture.End[] = [
    end,
    (socket) => socket.destroySoon(),
  ];
  const { dialAddress } = await fixture.startRelay(t);
  for (const each of ends) {
    const endpoint = await startEndpoint(t, { end: each, readsAll: true });
    for (const size of [0, 1, ...UPLOADS]) {
      for (let round = 0; round < ROUNDS; round++) {
        const answer = await upload(t, { dialAddress, endpoint, size });
        t.is(answer, "whole: part", `${size} bytes`);
      }
    }
  }
});

// Guards against refusals that are lost.
test("an answer with an end of its own is complete through a relaying host before its request is read", async (t) => {
  const { dialAddress } = await fixture.startRelay(t);
  for (const each of [end, resetAfter(20)]) {
    const answer = ANSWER_WITH_LENGTH;
    const endpoint = await startEndpoint(t, { answer, end: each });
    for (const size of UPLOADS) {
      const got = await upload(t, { dialAddress, endpoint, size });
      t.is(got, "whole: part", `${size} bytes`);
    }
  }
});
