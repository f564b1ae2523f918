/** The endpoints that serve, as one host knows them.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import * as announces from "./announce.ts";
import * as entries from "./entry.ts";
import * as holders from "./lease_holder.ts";
import * as leases from "./lease.ts";
import * as merges from "./merge.ts";
import * as spreads from "./gossip.ts";
import * as states from "./state.ts";

/** Outcome of a step. */
export interface Result {
  state: Registry;
  effects: states.Effect[];
}

type Handlers<T extends { type: string }> = {
  [K in T["type"]]: (
    step: states.Step,
    event: Extract<T, { type: K }>,
    from: string,
  ) => void;
};

type Handler = (step: states.Step, event: unknown, from: string) => void;

/** An immutable view of the endpoints; `step` gives the next one. */
export class Registry {
  readonly #state: states.State;

  private constructor(state: states.State) {
    this.#state = state;
  }

  /** The view of a host that has just started; wake it at once. */
  static create(options: states.Options): Registry {
    return new Registry({
      options,
      entries: entries.createMap(),
      leaseHolders: holders.LeaseHolders.create([]),
      neighbours: [],
      leases: new Map(),
      nextExpiry: Infinity,
      notReadySince: new Map(),
      renewals: new Map(),
      nextRenewal: Infinity,
      gossipQueue: membership.outbox.create(),
      nextGossip: Infinity,
      nextRootHash: 0,
      nextSync: 0,
      changedAt: -Infinity,
      hasSynced: false,
      wakeAt: Infinity,
    });
  }

  /** Takes one event at `now`, milliseconds of a monotonic clock. */
  step(event: states.Event, now: number): Result {
    const step: states.Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as Handler;
    handler(step, event, "");
    const wakeAt = Math.max(now, due(step.state));
    if (wakeAt !== this.#state.wakeAt || event.type === "wake") {
      step.effects.push({ type: "wake", at: wakeAt });
    }
    const state = new Registry({ ...step.state, wakeAt });
    return { state, effects: step.effects };
  }

  /** What is known of an endpoint, gone or not. */
  get(id: string): entries.Entry | undefined {
    return this.#state.entries.get(id);
  }

  /** Endpoints that serve, draining ones included. */
  get serving(): entries.ServingEntry[] {
    return [...this.#state.entries.values()].filter(entries.isServing);
  }

  /** Whether this copy has once equalled that of another host. */
  get hasSynced(): boolean {
    return this.#state.hasSynced;
  }

  /** Hash of the serving endpoints; equal where views agree. */
  get rootHash(): string {
    return this.#state.entries.rootHash();
  }

  /** Ids of the endpoints whose leases this host holds. */
  get heldLeases(): string[] {
    return [...this.#state.leases.keys()];
  }

  /** For the state dump. */
  toJSON(): object {
    const { entries, leases, gossipQueue: outbox, hasSynced: agreed } =
      this.#state;
    return {
      entries: [...entries.values()],
      leases: Object.fromEntries(leases),
      lease: states.leaseDuration(this.#state),
      pendingNews: outbox.items.size,
      agreed,
    };
  }
}

function due(state: states.State): number {
  const {
    nextExpiry,
    nextRenewal: nextRenew,
    nextGossip: nextNews,
    nextRootHash: nextRoot,
  } = state;
  return Math.min(nextExpiry, nextRenew, nextNews, nextRoot);
}

const handlers: Handlers<states.Event> = {
  wake: (step) => {
    const { now } = step;
    if (now >= step.state.nextExpiry) leases.expire(step);
    if (now >= step.state.nextRenewal) leases.sendRenewals(step);
    if (now >= step.state.nextGossip) spreads.sendUpdates(step);
    if (now >= step.state.nextRootHash) spreads.sendRootHash(step);
  },
  message: (step, { from, body }) => {
    const handler = messages[body.type] as Handler;
    handler(step, body, from);
  },
  hosts: (step, { hosts, neighbours }) => {
    leases.updateHosts(step, hosts, neighbours);
  },
  announce: (step, { id, announcement }) => {
    announces.announce(step, id, announcement);
  },
  depart: (step, { id, incarnation }) => {
    announces.leave(step, id, incarnation);
  },
};

const messages: Handlers<schema.RegistryMessage> = {
  renew: (step, body, from) => leases.receiveRenewals(step, from, body),
  want: (step, { ids }, from) => spreads.sendEntries(step, from, ids),
  root: (step, { root }, from) => spreads.compareRootHash(step, from, root),
  news: (step, { news, expired = [] }, from) => {
    merges.mergeAll(step, news, from);
    merges.mergeExpiries(step, expired, from);
  },
  compare: (step, body, from) => spreads.answerHashes(step, from, body),
  entries: (step, body, from) => spreads.receiveEntries(step, from, body),
};
