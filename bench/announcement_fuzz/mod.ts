/** Drawn endpoints that announce departures and backoffs in their answers,
 * before hosts with outdated rosters that restart now and then, on the fake
 * clock, against the gateway and the batchers as they are. Checks which calls
 * arrive, and that requests are served while other endpoints are idle.
 * @module */

import * as configurationFixture from "../../src/configuration/fixture.ts";
import * as configurations from "../../src/configuration/mod.ts";
import * as fixture from "../../src/endpoints/fixture.ts";
import type * as endpoints from "../../src/endpoints/mod.ts";
import type * as protocols from "../../src/gateway/protocol.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as hosts from "../decisions/host.ts";
import * as wire from "../decisions/wire.ts";
import * as journals from "./journal.ts";
import * as schedules from "./schedule.ts";

/** What is played. */
export interface Options {
  readonly seed: number;
  /** Entry hosts; drawn when absent. */
  readonly entries?: number;
  /** A way to break the rules, to show that it is noticed. */
  readonly breakage?: "announces-nothing";
}

/** What came of a run. */
export interface Seen {
  /** Share of the requests that were served. */
  readonly served: number;
  readonly requests: number;
}

const SYNC_INTERVAL_MS = 600;
/** Time of a call between host and endpoint, and of the work there. */
const WAY_MS = 1;
const WORK_MS = 30;
const HOST_COUNTS = [2, 6, 14];
/** Requests per second of all hosts. */
const MIN_RATE = 40;
const MAX_RATE = 160;
/** Time after the last request by which all have ended. */
const END_MS = 6000;

/** Runs a schedule; throws a `Violation`. */
export async function runSchedule(options: Options): Promise<Seen> {
  return await new World(options).play();
}

interface Member {
  readonly name: string;
  /** Number of the process, which changes with each restart. */
  process: number;
  host: hosts.Host;
  /** Time of the roster that it knows. */
  rosterAt: number;
  cutUntil: number;
}

class World {
  readonly #options: Options;
  readonly #clock = new runtime.FakeClock();
  readonly #random: runtime.Random;
  readonly #catalogue = configurations.Catalogue.create(CONFIGURATION);
  readonly #incarnations: readonly schedules.Incarnation[];
  readonly #journal = new journals.Journal();
  readonly #members: Member[] = [];
  #sent = 0;
  #served = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#random = runtime.createMixedRandom(options.seed);
    this.#incarnations = ["desk", "models", "maps"].flatMap((service) =>
      schedules.drawService(service, this.#random)
    );
  }

  async play(): Promise<Seen> {
    const drawn = HOST_COUNTS[this.#random.below(HOST_COUNTS.length)];
    const count = this.#options.entries ?? drawn;
    for (let number = 0; number < count; number++) this.#addMember(number);
    const rate = MIN_RATE + this.#random.next() * (MAX_RATE - MIN_RATE);
    for (let at = 0; at < schedules.LENGTH_MS; at += 1000 / rate) {
      this.#clock.after(at, () => this.#send());
    }
    for (let disturbance = 0; disturbance < 5; disturbance++) {
      const at = this.#random.next() * schedules.LENGTH_MS;
      this.#clock.after(at, () => this.#disturb());
    }
    const end = schedules.LENGTH_MS + END_MS;
    while (this.#clock.now() < end && this.#clock.step()) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.#journal.check();
    return { served: this.#served / this.#sent, requests: this.#sent };
  }

  #addMember(number: number): void {
    const member: Member = {
      name: `host-${number}`,
      process: 0,
      host: undefined!,
      rosterAt: 0,
      cutUntil: 0,
    };
    this.#members.push(member);
    this.#start(member);
    this.#clock.after(
      this.#random.next() * SYNC_INTERVAL_MS,
      () => this.#sync(member),
    );
  }

  #start(member: Member): void {
    const { name } = member;
    const process = ++member.process;
    member.rosterAt = this.#clock.now();
    member.host = new hosts.Host({
      name,
      dataCentre: "town",
      clock: this.#clock,
      random: runtime.createRandom(this.#options.seed * 104_729 + process),
      logger: telemetry.noLogger,
      catalogue: this.#catalogue,
      dispatcher: wire.dispatcher((sent, reply) =>
        this.#serve(sent, { reply, caller: `${name}.${process}` })
      ),
      roster: () => this.#rosterAt(member.rosterAt),
      hosts: () => this.#members.map(({ host }) => host).filter(Boolean),
    });
  }

  #sync(member: Member): void {
    const now = this.#clock.now();
    if (now >= member.cutUntil) {
      // A control host that is behind lists what others have dropped.
      const lag = this.#random.next() < 0.1 ? this.#random.next() * 4000 : 0;
      member.rosterAt = Math.max(0, now - lag);
      member.host.follow();
    }
    this.#clock.after(SYNC_INTERVAL_MS, () => this.#sync(member));
  }

  #rosterAt(time: number): endpoints.RosterEntry[] {
    return this.#incarnations
      .filter(({ startsAt, knownAt }) => startsAt <= time && time < knownAt)
      .map(({ id, service, address, startsAt: heardAt }) =>
        fixture.entry({ id, service, address, heardAt, slots: 8 })
      );
  }

  /** Restarts a host, or cuts it off from control hosts. */
  #disturb(): void {
    const member = this.#members[this.#random.below(this.#members.length)];
    if (this.#random.next() < 0.3) return this.#start(member);
    member.cutUntil = this.#clock.now() + this.#random.next() * 10_000;
  }

  #send(): void {
    const number = this.#sent++;
    const { host } = this.#members[this.#random.below(this.#members.length)];
    const kind = KINDS[this.#random.below(KINDS.length)];
    let status = 0;
    host.serve(
      {
        id: `r-${number}`,
        method: "POST",
        host: "host.example",
        target: `/${kind}/x`,
        headers: {},
        timeout: 3000,
        ...(kind !== "plain" && { prompt: promptOf(number) }),
        ...(kind === "staged" && { itemCounts: [2], itemKey: `k-${number}` }),
      },
      new wire.Response({
        head: (code) => void (status = code),
        event() {},
        end: () => {
          if (status === 200) this.#served++;
        },
      }),
    );
  }

  /** Serves a call at an endpoint; returns what cancels it. */
  #serve(
    sent: wire.Sent,
    { reply, caller }: { reply: wire.Reply; caller: string },
  ): () => void {
    let isCancelled = false;
    const later = (delay: number, act: () => void) =>
      this.#clock.after(delay, () => isCancelled || act());
    later(WAY_MS, () => {
      const now = this.#clock.now();
      const present = this.#incarnations.find((each) =>
        each.address === sent.address && each.startsAt <= now &&
        now < each.endsAt
      );
      if (present === undefined) return later(WAY_MS, reply.fail);
      if ((sent.headers.endpoint ?? present.id) !== present.id) {
        reply.head({ misdirected: "1", "not-run": "1" });
        return reply.end();
      }
      this.#journal.arrive(caller, present.id, now);
      this.#answer(sent, { reply, caller, present, later });
    });
    return () => void (isCancelled = true);
  }

  #answer(
    sent: wire.Sent,
    { reply, caller, present, later }: {
      reply: wire.Reply;
      caller: string;
      present: schedules.Incarnation;
      later(delay: number, act: () => void): void;
    },
  ): void {
    const now = this.#clock.now();
    const isSilent = this.#options.breakage === "announces-nothing";
    const isLeaving = now >= present.leavesAt;
    const leaving = isLeaving && !isSilent ? { leaving: "1" } : undefined;
    const told = () => {
      if (!isLeaving) return;
      this.#journal.tellLeaving(caller, present.id, this.#clock.now());
    };
    const rejection = present.rejections.find(({ from, until }) =>
      from <= now && now < until
    );
    if (rejection !== undefined) {
      const { retryAfter } = rejection;
      const duration = 1000 * Number(retryAfter);
      later(WAY_MS, () => {
        if (duration > 0) {
          const at = this.#clock.now();
          this.#journal.askBackoff(caller, present.id, { at, duration });
        }
        told();
        reply.head({
          "not-run": "1",
          ...leaving,
          ...(retryAfter !== undefined && !isSilent &&
            { "retry-after": retryAfter }),
        });
        reply.end();
      });
      return;
    }
    later(WORK_MS, () => {
      told();
      reply.head({ attempt: sent.headers.attempt ?? "", ...leaving });
      reply.data(contentOf(sent, present));
      reply.end();
    });
  }
}

function contentOf(
  { headers: { call }, body }: wire.Sent,
  { address }: schedules.Incarnation,
): string {
  if (call === undefined) return "id: 1\ndata: 1\n\n";
  if (call !== "make") return "";
  const items: protocols.ItemRequest[] = JSON.parse(body);
  const results = items.map(({ request, stage, itemIndex }) => ({
    type: "made",
    handle: `${address}/${request}.${stage}.${itemIndex}`,
  }));
  return JSON.stringify(results);
}

const KINDS = ["plain", "streaming", "staged"] as const;

const CONFIGURATION = configurationFixture.configuration({
  routes: KINDS.map((kind) =>
    configurationFixture.route({
      name: kind,
      prefix: `/${kind}/`,
      kind: kind === "plain" ? "safe" : "streaming",
      resumable: kind !== "plain",
      targets: [{ service: kind === "plain" ? "desk" : "models", weight: 1 }],
      stages: kind === "staged"
        ? [{ service: "maps", after: [], bytes: 10 }]
        : [],
      timeout: 3000,
      objective: 1000,
      isPublic: true,
    })
  ),
  services: [
    { name: "desk", connections: 100 },
    {
      name: "models",
      connections: 100,
      engine: { slots: 8, tokens: 1_000_000 },
    },
    {
      name: "maps",
      connections: 100,
      batching: configurationFixture.batchTraits({
        callTime: WORK_MS,
        itemTime: 1,
      }),
    },
  ],
});

/** A prompt that shares its first part with many others. */
function promptOf(number: number) {
  const parts = [
    { id: `shared-${number % 5}`, tokens: 500 },
    { id: `own-${number}`, tokens: 100 },
  ];
  return { model: "m", inputTokens: 600, outputTokens: 10, parts };
}
