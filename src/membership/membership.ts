/** State machine of membership, similar to SWIM: probes detect failures, gossip
 * spreads updates, and replica comparisons repair what gossip missed.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as member from "./member.ts";
import * as merges from "./merge.ts";
import * as gossipQueues from "./gossip_queue.ts";
import * as probes from "./probe.ts";
import * as gossip from "./gossip.ts";
import type * as states from "./state.ts";

/** Next state and effects of a step. */
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

/** An immutable view of the members; `step` returns the next one. */
export class Membership {
  readonly #state: states.State;

  private constructor(state: states.State) {
    this.#state = state;
  }

  /** Creates the view of a host that has just started; it expects a `wake`
   * event at once. */
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
      gossipQueue: gossipQueues.create(),
      nextGossip: Infinity,
      wakeAt: Infinity,
    });
  }

  /** Processes one event at `now`, milliseconds of a monotonic clock. */
  step(event: states.Event, now: number): Result {
    const step: states.Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as Handler;
    handler(step, event, undefined);
    const wakeAt = Math.max(
      now,
      Math.min(probes.due(step.state), gossip.due(step.state)),
    );
    if (wakeAt !== this.#state.wakeAt || event.type === "wake") {
      step.effects.push({ type: "wake", at: wakeAt });
    }
    const state = new Membership({ ...step.state, wakeAt });
    return { state, effects: step.effects };
  }

  /** Returns a member, which may be dead or have left. */
  get(id: string): member.Member | undefined {
    return this.#state.members.get(id);
  }

  /** This host as a member. */
  get self(): member.Member {
    return this.#state.members.get(this.#state.options.self.id)!;
  }

  /** Live members, including this host and suspects. */
  get live(): readonly member.Member[] {
    return this.#state.live.map((id) => this.#state.members.get(id)!);
  }

  /** Number of hosts that may be running: all known members and seeds except
   * those that left. */
  get size(): number {
    const { members, options } = this.#state;
    const known = [...members.values()].filter(({ status }) =>
      status !== "left"
    );
    const seeds = options.seeds.filter((id) => members.get(id) === undefined);
    return known.length + seeds.length;
  }

  /** Hosts that this one sends updates to. */
  get neighbours(): readonly string[] {
    return this.#state.neighbours;
  }

  /** Hash of the live members and their versions; equal for equal views. */
  get rootHash(): string {
    return this.#state.members.rootHash();
  }

  /** Serializes the view for the state dump. */
  toJSON(): object {
    const {
      members,
      suspicionEnds,
      deadSince,
      neighbours,
      gossipQueue,
    } = this.#state;
    return {
      members: [...members.values()],
      suspects: [...suspicionEnds.keys()],
      dead: [...deadSince.keys()],
      neighbours,
      pendingNews: gossipQueue.items.size,
    };
  }
}

type Handler = (step: states.Step, event: unknown, context: unknown) => void;

const handlers: Handlers<states.Event, undefined> = {
  wake: (step) => {
    probes.advance(step);
    gossip.advance(step);
  },
  message: (step, { from, body }) => {
    const handler = messageHandlers[body.type] as Handler;
    handler(step, body, from);
  },
  drain: (step, { reason }) => merges.updateSelf(step, { drain: reason }),
  resume: (step) => merges.updateSelf(step, { drain: undefined }),
  leave: (step) => {
    merges.updateSelf(step, { status: "left" });
    const gossipQueue = gossipQueues.refillCredit(step.state.gossipQueue);
    step.state = { ...step.state, gossipQueue };
    gossip.sendUpdates(step);
  },
};

const messageHandlers: Handlers<schema.MembershipMessage, string> = {
  ping: (step, body, from) => {
    merges.mergeAll(step, body.news ?? [], from);
    probes.answerPing(step, from, body);
  },
  ack: (step, body, from) => {
    probes.receiveAck(step, body.probe);
    merges.mergeAll(step, body.news ?? [], from);
    gossip.compareRootHash(step, from, body.root);
  },
  relay: (step, body, from) => probes.relayPing(step, from, body),
  vouch: (step, body) => probes.receiveAck(step, body.probe),
  news: (step, { news, brief = [] }, from) => {
    merges.mergeAll(step, news, from);
    merges.mergeCompact(step, brief, from);
  },
  compare: (step, body, from) => gossip.answerHashes(step, from, body),
  entries: (step, body, from) => gossip.receiveEntries(step, from, body),
};
