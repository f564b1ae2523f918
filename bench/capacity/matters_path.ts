/** Slopes of the request path: processor time by tokens and by tokens in a
 * chunk, over real connections on loopback. What a call costs directly is
 * taken off, so that client and endpoint do not count.
 * @module */

import type * as net from "node:net";
import * as undici from "undici";
import * as overhead from "../overhead.ts";
import type * as slope from "./slope.ts";
import * as fixture from "../routing/fixture.ts";
import * as routing from "../../src/routing/mod.ts";
import * as gauge from "./gauge.ts";

const TOKENS = [64, 128, 256, 512];
const PLAIN = [250, 500, 1000, 2000];
const WARM_UP = 60;
const CALLS = 60;
const ROUNDS = 5;
const LANES = 8;
/** 3.2 million tokens over 6,800 requests. */
const TOKENS_PER_REQUEST = 470;
const GROUPS = [500, 1500, 3500, 5500];
const CHOICES = 20_000;
const MICROSECONDS = 1000;
const REASON = "3.2 million tokens of 6,800 requests";

/** A host's path before an endpoint, and the endpoint itself. */
class Rig {
  readonly #stream = { chunks: 0, words: 1, apart: true };
  #direct!: () => Promise<void>;
  #through!: () => Promise<void>;
  #plain!: { direct(): Promise<void>; through(): Promise<void> };
  #stop!: () => Promise<void>;

  static async create(): Promise<Rig> {
    const rig = new Rig();
    const server = await overhead.listen(rig.#stream);
    const { port } = server.address() as net.AddressInfo;
    const path = overhead.createPath(`http://127.0.0.1:${port}`);
    await path.start();
    const agent = new undici.Agent({ pipelining: 1 });
    const input = { text: "a short question about one hull section" };
    const body = JSON.stringify({ input, stream: true });
    const echo = { "x-request-id": "r", "x-stage": "s", "x-attempt": "1" };
    const direct = { port, path: "/v1/completions", body, headers: echo };
    const headers = { authorization: `Bearer ${overhead.TOKEN}` };
    const through = {
      port: path.port,
      path: "/v1/pipelines/ask",
      body,
      headers,
    };
    rig.#direct = () => overhead.post(agent, direct);
    rig.#through = () => overhead.post(agent, through);
    const desk = "/v1/services/desk/book";
    rig.#plain = {
      direct: () => overhead.post(agent, { ...direct, path: "/book" }),
      through: () => overhead.post(agent, { ...through, path: desk }),
    };
    rig.#stop = async () => {
      await agent.close();
      await path.stop();
      server.close();
      server.closeAllConnections();
    };
    return rig;
  }

  /** Milliseconds of processor time that the host adds to a call. */
  async cost(chunks: number, words: number): Promise<number> {
    Object.assign(this.#stream, { chunks, words });
    await overhead.work(this.#direct, LANES, WARM_UP);
    await overhead.work(this.#through, LANES, WARM_UP);
    return gauge.median(ROUNDS, async () => {
      const direct = await overhead.work(this.#direct, LANES, CALLS);
      const through = await overhead.work(this.#through, LANES, CALLS);
      return through.cpu - direct.cpu;
    });
  }

  /** Milliseconds of processor time that the host adds to `count` calls of a
   * plain service. */
  async plain(count: number): Promise<number> {
    await overhead.work(this.#plain.direct, LANES, WARM_UP);
    await overhead.work(this.#plain.through, LANES, WARM_UP);
    return gauge.median(ROUNDS, async () => {
      const direct = await overhead.work(this.#plain.direct, LANES, count);
      const through = await overhead.work(this.#plain.through, LANES, count);
      return count * (through.cpu - direct.cpu);
    });
  }

  stop(): Promise<void> {
    return this.#stop();
  }
}

function byTokens(words: number): slope.Matter {
  const noun = words === 1 ? "token" : "tokens";
  return {
    role: "entry host",
    name: `processor time of a request, ${words} ${noun} a chunk`,
    per: "tokens",
    unit: "ms",
    target: TOKENS_PER_REQUEST,
    reason: REASON,
    mechanism: "chunks are passed on as they come, one event each",
    async measure() {
      const rig = await Rig.create();
      const points: slope.Point[] = [];
      for (const size of TOKENS) {
        const value = await rig.cost(size / words, words);
        points.push({ size, value });
      }
      await rig.stop();
      return points;
    },
  };
}

const choices: slope.Matter[] = [
  {
    role: "entry host",
    name: "processor time of plain calls",
    per: "calls",
    unit: "ms",
    target: 1000,
    reason: "a thousand calls of one stage",
    mechanism: "lasting connections on both sides",
    async measure() {
      const rig = await Rig.create();
      const points: slope.Point[] = [];
      for (const size of PLAIN) {
        points.push({ size, value: await rig.plain(size) });
      }
      await rig.stop();
      return points;
    },
  },
  {
    role: "entry host",
    name: "processor time of a choice",
    per: "endpoints in a group",
    unit: "us",
    target: 5500,
    reason: "as if one service had all engines",
    mechanism: "a bounded sample of endpoints with room, no scan",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of GROUPS) {
        const group = fixture.group(size);
        const call = fixture.call(fixture.prompt(1, 1));
        const choose = () => {
          for (let pos = 0; pos < CHOICES; pos++) {
            routing.endpointChoice.choose(group, call, 100);
          }
        };
        choose();
        const spent = await gauge.cpu(choose);
        points.push({ size, value: spent / CHOICES * MICROSECONDS });
      }
      return points;
    },
  },
];

/** Every slope of the request path. */
export const all: readonly slope.Matter[] = [
  ...[1, 2, 4, 8].map(byTokens),
  ...choices,
];
