/** Streams whose endpoints are cut off, again and again, at any byte of their
 * answers.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import * as runtime from "../runtime/mod.ts";
import * as callerFixture from "./caller_fixture.ts";
import * as fixture from "./fixture.ts";

const SEED = 70;
const STREAMS = 150;
const EVENTS = 5;
/** Least part of the streams that are complete: otherwise the test shows little. */
const MIN_COMPLETE_SHARE = 0.2;

/** One endpoint's answer to a call for the rest of a stream. */
interface CutAnswer {
  readonly sent: string;
  readonly end: "end" | "reset";
  /** Whether a caller can't tell the part that was sent from a whole answer that
   * ends with its connection. */
  readonly looksWhole: boolean;
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Draws the answer with the events after one, and where it is cut off. */
function drawAnswer(random: runtime.Random, after: number): CutAnswer {
  const events = Array.from(
    { length: EVENTS - after },
    (_, index) => after + index + 1,
  ).map((id) => `id: ${id}\ndata: ${id}\n\n`);
  const isChunked = random.next() < 0.5;
  const framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "";
  const head = `HTTP/1.1 200 OK\r\ntest-signature: s\r\n${framing}\r\n`;
  const body = isChunked
    ? `${events.map(chunkOf).join("")}0\r\n\r\n`
    : events.join("");
  const whole = head + body;
  const cut = random.next();
  const length = cut < 0.2
    ? random.below(head.length + 1)
    : cut < 0.7
    ? head.length + random.below(body.length + 1)
    : whole.length;
  const sent = whole.slice(0, length);
  const end = random.next() < 0.6 ? "end" : "reset";
  const hasEvents = sent.length > head.length && sent.endsWith("\n\n");
  const looksWhole = !isChunked && end === "end" && hasEvents;
  return { sent, end, looksWhole };
}

function send(socket: net.Socket, { sent, end }: CutAnswer): void {
  socket.write(sent);
  if (end === "end") socket.end();
  else socket.resetAndDestroy();
}

/** Ids of the events in a text. */
function idsOf(text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

/** Asks for streams of endpoints that are cut off; returns those that end as
 * complete with events missing or twice. */
async function playStreams(t: ava.ExecutionContext) {
  const random = runtime.createRandom(SEED);
  let answers: CutAnswer[] = [];
  const handle: http.RequestListener = ({ headers, socket }) => {
    const after = Number(headers["test-resume-after"] ?? 0);
    const answer = drawAnswer(random, after);
    answers.push(answer);
    send(socket, answer);
  };
  const { gatewayAddress, context } = await fixture.startHost(t, {
    kind: "streaming",
    resumable: true,
    objective: 1000,
    timeout: 20_000,
    attempts: 3,
  }, handle);
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 10_000 }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  Object.assign(context, { dispatcher });
  const wrong: unknown[] = [];
  let complete = 0;
  for (let count = 0; count < STREAMS; count++) {
    answers = [];
    const reply = await callerFixture.send(gatewayAddress, {});
    if (reply.status !== 200 || !reply.isComplete) continue;
    complete++;
    const ids = idsOf(reply.body);
    const isInOrder = ids.every((id, index) => id === index + 1);
    const isWhole = ids.length === EVENTS || answers.at(-1)!.looksWhole;
    if (!isInOrder || !isWhole) wrong.push([ids, answers]);
  }
  return { complete, wrong };
}

// Guards against a stream that ends as complete with events missing or twice, as
// the answers that continue it are cut off as well.
test(`streams of endpoints that are cut off end as complete only when they are, seed ${SEED}`, async (t) => {
  const { complete, wrong } = await playStreams(t);
  t.log({ complete, of: STREAMS });
  t.deepEqual(wrong, []);
  t.true(complete >= MIN_COMPLETE_SHARE * STREAMS);
});
