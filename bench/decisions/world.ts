/** Plays a load against hosts with the gateway and the batchers as they are,
 * simulated engines, endpoints of pieces and callers, on the fake clock.
 * @module */

import * as configurations from "../../src/configuration/mod.ts";
import * as fixture from "../../src/endpoints/fixture.ts";
import type * as endpoints from "../../src/endpoints/mod.ts";
import type * as gateway from "../../src/gateway/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as accounts from "./account.ts";
import * as callers from "./caller.ts";
import type * as deployments from "./deployment.ts";
import * as engines from "./engine.ts";
import * as hosts from "./host.ts";
import * as loads from "./load.ts";
import * as makerEndpoints from "./maker_endpoint.ts";
import * as sums from "./sum.ts";
import * as wire from "./wire.ts";

/** Something that goes wrong. */
export type Trouble =
  /** All hosts end, and start again with nothing known. */
  | { type: "kill"; at: number; length: number }
  /** Some of the engines break off what they run. */
  | {
    type: "crash";
    at: number;
    length: number;
    count: number;
    /** Milliseconds until hosts know that they are gone; 1,000 when absent. */
    unknownFor?: number;
  }
  /** An endpoint of each service that makes pieces works more slowly. */
  | { type: "slow"; at: number; length: number; factor: number };

/** What is played. */
export interface Play {
  readonly deployment: deployments.Deployment;
  readonly seed: number;
  /** Milliseconds in which requests come. */
  readonly length: number;
  readonly bursts?: readonly deployments.Burst[];
  readonly troubles?: readonly Trouble[];
  readonly logger?: telemetry.Logger;
}

/** Milliseconds after the last request by which all have ended. */
const REST = 30_000;
/** Milliseconds between data centres, and within one. */
const FAR = 1.4;
const NEAR = 0.1;
/** Milliseconds after which an engine that has crashed is known to be gone. */
const KNOWN = 1000;
/** Name of the service of the engines. */
const ENGINES = "engines";

/** Plays to the end. */
export async function play(play: Play): Promise<accounts.Account> {
  return await new World(play).play();
}

interface Place {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly dataCentre: string;
}

class World {
  readonly #play: Play;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #catalogue: configurations.Catalogue;
  readonly #engines = new Map<string, engines.Engine>();
  readonly #makers = new Map<string, makerEndpoints.MakerEndpoint>();
  readonly #places = new Map<string, Place>();
  readonly #requests = new Map<string, loads.Request>();
  readonly #cuts = new Set<{ address?: string; cut: () => void }>();
  readonly #ended: accounts.Ended[] = [];
  readonly #costs = { crossed: 0, made: 0, used: 0 };
  #hosts: hosts.Host[] = [];

  constructor(play: Play) {
    this.#play = play;
    this.#random = runtime.createRandom(play.seed * 7919 + 1);
    this.#catalogue = configurations.Catalogue.create(
      configurationOf(play.deployment),
    );
  }

  async play(): Promise<accounts.Account> {
    const { deployment, seed, length, bursts = [] } = this.#play;
    this.#createEndpoints();
    this.#startHosts();
    for (const trouble of this.#play.troubles ?? []) this.#plan(trouble);
    for (const each of loads.requests(deployment, { seed, length, bursts })) {
      this.#clock.after(each.at, () => this.#send(each));
    }
    while (this.#clock.now() < length + REST && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    const makers = [...this.#makers.values()];
    return {
      ended: this.#ended,
      ...this.#costs,
      read: sums.sum([...this.#engines.values()].map(({ read }) => read)),
      busy: sums.sum(makers.map(({ busy }) => busy)),
      rejected: sums.sum(makers.map(({ rejected }) => rejected)),
      starved: sums.sum(makers.map(({ starved }) => starved)),
    };
  }

  #createEndpoints(): void {
    const { engines: engineTraits, makers } = this.#play.deployment;
    for (const place of this.#placesOf(ENGINES, engineTraits.counts)) {
      const engine = new engines.Engine(this.#clock, engineTraits);
      this.#engines.set(place.address, engine);
    }
    const clock = this.#clock;
    const random = this.#random;
    const isHeld = (handle: string) => this.#isHeld(handle);
    for (const [service, { counts, traits }] of Object.entries(makers)) {
      for (const { address } of this.#placesOf(service, counts)) {
        const world = { clock, random, isHeld };
        this.#makers.set(
          address,
          new makerEndpoints.MakerEndpoint(address, traits, world),
        );
      }
    }
  }

  #placesOf(
    service: string,
    counts: Readonly<Record<string, number>>,
  ): Place[] {
    return Object.entries(counts).flatMap(([dataCentre, count]) =>
      Array.from({ length: count }, (_, number) => {
        const id = `${service}-${dataCentre}-${number}`;
        const place = { id, service, address: id, dataCentre };
        this.#places.set(id, place);
        return place;
      })
    );
  }

  #roster(): endpoints.RosterEntry[] {
    const { slots } = this.#play.deployment.engines;
    return [...this.#places.values()]
      .filter(({ address }) => !this.#engines.get(address)?.isDown)
      .map((place) => fixture.entry({ ...place, slots }));
  }

  #startHosts(): void {
    let number = 0;
    const names = Object.entries(this.#play.deployment.hosts).flatMap((
      [dataCentre, count],
    ) =>
      Array.from({ length: count }, () => ({
        name: `host-${number++}`,
        dataCentre,
      }))
    );
    this.#hosts = names.map(({ name, dataCentre }, pos) =>
      new hosts.Host({
        name,
        dataCentre,
        clock: this.#clock,
        random: runtime.createRandom(this.#play.seed * 104_729 + pos),
        logger: this.#play.logger ?? telemetry.noLogger,
        catalogue: this.#catalogue,
        dispatcher: wire.dispatcher((sent, reply) =>
          this.#serve(sent, { reply, dataCentre })
        ),
        roster: () => this.#roster(),
        hosts: () => this.#hosts,
      })
    );
  }

  #plan(trouble: Trouble): void {
    const { at, length } = trouble;
    const { begin, end } = this.#handlers(trouble);
    this.#clock.after(at, begin);
    this.#clock.after(at + length, end);
  }

  #handlers(trouble: Trouble): { begin(): void; end(): void } {
    switch (trouble.type) {
      case "kill":
        return { begin: () => this.#kill(), end: () => this.#startHosts() };
      case "crash": {
        const all = [...this.#engines].slice(0, trouble.count);
        return {
          begin: () => {
            for (const [address] of all) this.#crash(address);
            this.#clock.after(trouble.unknownFor ?? KNOWN, () => this.#tell());
          },
          end: () => {
            for (const [, engine] of all) engine.isDown = false;
            this.#tell();
          },
        };
      }
      case "slow": {
        const seen = new Set<string>();
        const firsts = [...this.#places.values()].filter(({ service }) =>
          service !== ENGINES && !seen.has(service) && seen.add(service)
        ).map(({ address }) => this.#makers.get(address)!);
        const set = (factor: number) => () =>
          firsts.forEach((maker) => maker.slowness = factor);
        return { begin: set(trouble.factor), end: set(1) };
      }
    }
  }

  #kill(): void {
    this.#hosts = [];
    for (const { cut } of [...this.#cuts]) cut();
  }

  #crash(address: string): void {
    this.#engines.get(address)!.isDown = true;
    for (const each of [...this.#cuts]) {
      if (each.address === address) each.cut();
    }
  }

  /** Has hosts know which endpoints are there. */
  #tell(): void {
    this.#hosts.forEach((host) => host.follow());
  }

  #send(request: loads.Request): void {
    callers.Caller.start({
      request,
      clock: this.#clock,
      random: this.#random,
      reach: (ask, hearer) =>
        this.#reach(request, {
          ask: { ...ask, ...this.#keyOf(request) },
          hearer,
        }),
      onEnd: (ended) => void this.#ended.push(ended),
    });
  }

  /** The key of the account that a caller belongs to. */
  #keyOf({ caller }: loads.Request): { apiKey?: string } {
    const { accounts = [] } = this.#play.deployment;
    return { apiKey: accounts[Math.floor(caller * accounts.length)]?.keys[0] };
  }

  /** Brings an attempt to a host; returns what the caller leaves with. */
  #reach(
    request: loads.Request,
    { ask, hearer }: { ask: gateway.IncomingRequest; hearer: wire.Hearer },
  ): (() => void) | undefined {
    if (this.#hosts.length === 0) return undefined;
    const chosen = this.#random.below(this.#hosts.length);
    this.#requests.set(ask.id, request);
    const response = new wire.Response(hearer);
    const cut = {
      cut: () => {
        this.#cuts.delete(cut);
        response.leave();
        hearer.end();
      },
    };
    this.#cuts.add(cut);
    response.once("close", () => this.#cuts.delete(cut));
    this.#hosts[chosen].serve(ask, response);
    return () => response.leave();
  }

  /** Serves a call of a host; returns what ends it. */
  #serve(
    sent: wire.Sent,
    { reply, dataCentre }: { reply: wire.Reply; dataCentre: string },
  ): () => void {
    const place = this.#places.get(sent.address)!;
    const way = place.dataCentre === dataCentre ? NEAR : FAR;
    let isOver = false;
    const later = (act: () => void) =>
      this.#clock.after(way, () => isOver || act());
    const away: wire.Reply = {
      head: (headers) => void later(() => reply.head(headers)),
      data: (text) => void later(() => reply.data(text)),
      end: () => void later(() => reply.end()),
      fail: () => void later(() => reply.fail()),
    };
    let cancel = () => {};
    later(() => cancel = this.#handle(sent, away));
    return () => {
      isOver = true;
      cancel();
    };
  }

  #handle(sent: wire.Sent, reply: wire.Reply): () => void {
    const { call } = sent.headers;
    if (call === undefined) return this.#generate(sent, reply);
    if (call === "make") this.#make(sent, reply);
    else {
      const handles: string[] = JSON.parse(sent.body);
      const maker = this.#makers.get(sent.address)!;
      handles.forEach((handle) => maker.release(handle));
      answer(reply, "");
    }
    return () => {};
  }

  #make({ address, body }: wire.Sent, reply: wire.Reply): void {
    const orders: gateway.ItemRequest[] = JSON.parse(body);
    const items = orders.map(({ request, stage, inputs, remaining }) => {
      const { bytes, effort } = this.#requests.get(request)!.kind.stages[stage];
      inputs?.forEach((input) => this.#fetch(input, address));
      return { bytes, effort, inputs: inputs ?? [], remaining: remaining! };
    });
    const results = this.#makers.get(address)!.call(items);
    if (results === undefined) {
      reply.head({ "not-run": "1" });
      return reply.end();
    }
    void results.then((made) => {
      this.#costs.made += made.filter(({ type }) => type === "made").length;
      answer(reply, JSON.stringify(made));
    });
  }

  #generate(sent: wire.Sent, reply: wire.Reply): () => void {
    const engine = this.#engines.get(sent.address)!;
    const { attempt, inputs } = sent.headers;
    if (engine.isDown) {
      reply.fail();
      return () => {};
    }
    const handles = inputs === undefined || inputs === ""
      ? []
      : inputs.split(",");
    let stop = () => {};
    const { fetchTime } = this.#play.deployment.engines;
    const cancel = this.#clock.after(fetchTime, () => {
      if (handles.every((handle) => this.#isHeld(handle))) {
        stop = this.#run(sent, { engine, handles, reply });
        return;
      }
      reply.head({ attempt, "not-run": "1", "lacks-input": "1" });
      reply.end();
    });
    return () => {
      cancel();
      stop();
    };
  }

  /** Runs a call whose inputs are there; returns what ends it. */
  #run(
    { address, headers }: wire.Sent,
    { engine, handles, reply }: {
      engine: engines.Engine;
      handles: readonly string[];
      reply: wire.Reply;
    },
  ): () => void {
    const { attempt, urgency, source } = headers;
    handles.forEach((handle) => this.#fetch(handle, address));
    const { prompt, events } = this.#requests.get(attempt)!;
    let stop = () => {};
    const cut = {
      address,
      cut: () => {
        this.#cuts.delete(cut);
        stop();
        reply.fail();
      },
    };
    this.#cuts.add(cut);
    stop = engine.start({
      prompt,
      events,
      urgency: Number(urgency),
      source: this.#engines.get(source),
      onEvent: (number) => {
        if (number === 1) {
          this.#costs.used += handles.length;
          reply.head({ attempt });
        }
        reply.data(`id: ${number}\n\n`);
      },
      onEnd: () => {
        this.#cuts.delete(cut);
        reply.end();
      },
    });
    return () => {
      this.#cuts.delete(cut);
      stop();
    };
  }

  #isHeld(handle: string): boolean {
    return this.#makers.get(wire.protocol.holderOf(handle))!.holds(handle);
  }

  /** Notes a result on its way to where it is worked on. */
  #fetch(handle: string, address: string): void {
    const maker = this.#places.get(wire.protocol.holderOf(handle))!;
    const reader = this.#places.get(address)!;
    if (maker.dataCentre === reader.dataCentre) return;
    this.#costs.crossed += this.#makers.get(maker.address)!.bytesOf(handle);
  }
}

function answer(reply: wire.Reply, text: string): void {
  reply.head();
  reply.data(text);
  reply.end();
}

function configurationOf(
  { kinds, makers, engines, accounts = [] }: deployments.Deployment,
): configurations.Configuration {
  const { slots, tokens, fetchRate } = engines;
  const traits = { slots, tokens, fetchRate };
  return {
    version: 1,
    routes: kinds.map(({ name, rank, objective, gap, patience, stages }) => ({
      name,
      hostname: "host",
      prefix: `/${name}/`,
      kind: "streaming",
      targets: [{ service: ENGINES, weight: 1 }],
      timeout: patience,
      objective,
      gap,
      priority: rank,
      attempts: 2,
      stages,
      isPublic: false,
      affinity: true,
      resumable: true,
    })),
    services: [
      { name: ENGINES, connections: 370, engine: traits },
      ...Object.entries(makers).map(([name, { traits: pieces }]) => ({
        name,
        connections: 370,
        batching: pieces,
      })),
    ],
    accounts,
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeout: 3000,
      idleTimeout: 15_000,
    },
  };
}
