/** Which hosts of the system are alive, as one host sees it.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as outboxes from "./gossip_queue.ts";
import * as probes from "./probe.ts";
import * as spreads from "./gossip.ts";
import type * as states from "./state.ts";

/** Outcome of a step. */
export interface Result {
  state: Membership;
  effects: states.Effect[];
}

type Handlers<T extends { type: string }, C> = {
  [K in T["type"]]: (
    step: states.Step,
    event: Extract<T, { type: K }>,
    context: C,
  ) => void;
};

/** An immutable view of the hosts; `step` gives the next one. */
export class Membership {
  readonly #state: states.State;

  private constructor(state: states.State) {
    this.#state = state;
  }

  /** The view of a host that has just started; wake it at once. */
  static create(options: states.Options): Membership {
    const self: member.Member = {
      ...options.self,
      sequence: 0,
      status: "alive",
    };
    return new Membership({
      options,
      members: member.createMap().set(self),
      live: [self.id],
      subjects: [],
      neighbours: [],
      probe: undefined,
      relays: new Map(),
      lastPing: options.random.below(2 ** 30),
      nextProbe: 0,
      nextReconnect: 0,
      nextSync: 0,
      changedAt: -Infinity,
      suspicionEnds: new Map(),
      deadSince: new Map(),
      gossipQueue: outboxes.create(),
      nextGossip: Infinity,
      wakeAt: Infinity,
    });
  }

  /** Takes one event at `now`, milliseconds of a monotonic clock. */
  step(event: states.Event, now: number): Result {
    const step: states.Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as Handler;
    handler(step, event, undefined);
    const wakeAt = Math.max(
      now,
      Math.min(probes.due(step.state), spreads.due(step.state)),
    );
    if (wakeAt !== this.#state.wakeAt || event.type === "wake") {
      step.effects.push({ type: "wake", at: wakeAt });
    }
    const state = new Membership({ ...step.state, wakeAt });
    return { state, effects: step.effects };
  }

  /** What is known of a host, alive or not. */
  get(id: string): member.Member | undefined {
    return this.#state.members.get(id);
  }

  /** What this host says of itself. */
  get self(): member.Member {
    return this.#state.members.get(this.#state.options.self.id)!;
  }

  /** Hosts that count as alive, this one and suspects included. */
  get live(): readonly member.Member[] {
    return this.#state.live.map((id) => this.#state.members.get(id)!);
  }

  /** Number of hosts that may be running: all but those that said they
   * leave, the seeds included. */
  get size(): number {
    const { members, options } = this.#state;
    const known = [...members.values()].filter(({ status }) =>
      status !== "left"
    );
    const seeds = options.seeds.filter((id) => members.get(id) === undefined);
    return known.length + seeds.length;
  }

  /** Hosts that this one passes news to. */
  get neighbours(): readonly string[] {
    return this.#state.neighbours;
  }

  /** Hash of the live hosts and their statements; equal where views agree. */
  get rootHash(): string {
    return this.#state.members.rootHash();
  }

  /** For the state dump. */
  toJSON(): object {
    const {
      members,
      suspicionEnds: suspects,
      deadSince: dead,
      neighbours,
      gossipQueue: outbox,
    } = this.#state;
    return {
      members: [...members.values()],
      suspects: [...suspects.keys()],
      dead: [...dead.keys()],
      neighbours,
      pendingNews: outbox.items.size,
    };
  }
}

type Handler = (step: states.Step, event: unknown, context: unknown) => void;

const handlers: Handlers<states.Event, undefined> = {
  wake: (step) => {
    probes.advance(step);
    spreads.advance(step);
  },
  message: (step, { from, body }) => {
    const handler = messages[body.type] as Handler;
    handler(step, body, from);
  },
  drain: (step, { reason }) => merges.updateSelf(step, { drain: reason }),
  resume: (step) => merges.updateSelf(step, { drain: undefined }),
  leave: (step) => {
    merges.updateSelf(step, { status: "left" });
    const outbox = outboxes.refillCredit(step.state.gossipQueue);
    step.state = { ...step.state, gossipQueue: outbox };
    spreads.sendUpdates(step);
  },
};

const messages: Handlers<schema.MembershipMessage, string> = {
  ping: (step, body, from) => {
    merges.mergeAll(step, body.news ?? [], from);
    probes.answerPing(step, from, body);
  },
  ack: (step, body, from) => {
    probes.receiveAck(step, body.probe);
    merges.mergeAll(step, body.news ?? [], from);
    spreads.compareRootHash(step, from, body.root);
  },
  relay: (step, body, from) => probes.relayPing(step, from, body),
  vouch: (step, body) => probes.receiveAck(step, body.probe),
  news: (step, { news, brief = [] }, from) => {
    merges.mergeAll(step, news, from);
    merges.mergeCompact(step, brief, from);
  },
  compare: (step, body, from) => spreads.answerHashes(step, from, body),
  entries: (step, body, from) => spreads.receiveEntries(step, from, body),
};
