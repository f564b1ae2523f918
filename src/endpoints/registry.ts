/** State machine of the endpoint registry: a replica, on each host, of the
 * endpoints that serve, kept in sync by gossip.
 * @module */

import * as membership from "../membership/mod.ts";
import type * as schema from "../schema/registry_types.ts";
import * as announces from "./announce.ts";
import * as entries from "./entry.ts";
import * as leaseHolder from "./lease_holder.ts";
import * as leases from "./lease.ts";
import * as merges from "./merge.ts";
import * as gossip from "./gossip.ts";
import * as states from "./state.ts";

/** Next state and effects of a step. */
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

/** An immutable replica of the registry; `step` returns the next one. */
export class Registry {
  readonly #state: states.State;

  private constructor(state: states.State) {
    this.#state = state;
  }

  /** Creates the registry of a host that has just started; it expects a `wake`
   * event at once. */
  static create(options: states.Options): Registry {
    return new Registry({
      options,
      entries: entries.createMap(),
      leaseHolders: leaseHolder.LeaseHolders.create([]),
      neighbours: [],
      leases: new Map(),
      nextExpiry: Infinity,
      notReadySince: new Map(),
      renewals: new Map(),
      nextRenewal: Infinity,
      gossipQueue: membership.gossipQueue.create(),
      nextGossip: Infinity,
      nextRootHash: 0,
      nextSync: 0,
      changedAt: -Infinity,
      hasSynced: false,
      wakeAt: Infinity,
    });
  }

  /** Processes one event at `now`, milliseconds of a monotonic clock. */
  step(event: states.Event, now: number): Result {
    const step: states.Step = { state: this.#state, effects: [], now };
    const handler = handlers[event.type] as Handler;
    handler(step, event, "");
    const wakeAt = Math.max(now, nextWake(step.state));
    if (wakeAt !== this.#state.wakeAt || event.type === "wake") {
      step.effects.push({ type: "wake", at: wakeAt });
    }
    const state = new Registry({ ...step.state, wakeAt });
    return { state, effects: step.effects };
  }

  /** Returns the entry of an endpoint, which may be a tombstone. */
  get(id: string): entries.Entry | undefined {
    return this.#state.entries.get(id);
  }

  /** Entries of serving endpoints, including draining ones. */
  get serving(): entries.ServingEntry[] {
    return [...this.#state.entries.values()].filter(entries.isServing);
  }

  /** Whether this replica has been equal to that of another host once. */
  get hasSynced(): boolean {
    return this.#state.hasSynced;
  }

  /** Hash of the serving endpoints; equal for equal replicas. */
  get rootHash(): string {
    return this.#state.entries.rootHash();
  }

  /** Ids of the endpoints whose leases this host holds. */
  get heldLeases(): string[] {
    return [...this.#state.leases.keys()];
  }

  /** Serializes the registry for the state dump. */
  toJSON(): object {
    const { entries, leases, gossipQueue, hasSynced: agreed } = this.#state;
    return {
      entries: [...entries.values()],
      leases: Object.fromEntries(leases),
      lease: states.leaseDuration(this.#state),
      pendingNews: gossipQueue.items.size,
      agreed,
    };
  }
}

function nextWake(state: states.State): number {
  const { nextExpiry, nextRenewal, nextGossip, nextRootHash } = state;
  return Math.min(nextExpiry, nextRenewal, nextGossip, nextRootHash);
}

const handlers: Handlers<states.Event> = {
  wake: (step) => {
    const { now } = step;
    if (now >= step.state.nextExpiry) leases.expire(step);
    if (now >= step.state.nextRenewal) leases.sendRenewals(step);
    if (now >= step.state.nextGossip) gossip.sendUpdates(step);
    if (now >= step.state.nextRootHash) gossip.sendRootHash(step);
  },
  message: (step, { from, body }) => {
    const handler = messageHandlers[body.type] as Handler;
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

const messageHandlers: Handlers<schema.RegistryMessage> = {
  renew: (step, body, from) => leases.receiveRenewals(step, from, body),
  want: (step, { ids }, from) => gossip.sendEntries(step, from, ids),
  root: (step, { root }, from) => gossip.compareRootHash(step, from, root),
  news: (step, { news, expired = [] }, from) => {
    merges.mergeAll(step, news, from);
    merges.mergeExpiries(step, expired, from);
  },
  compare: (step, body, from) => gossip.answerHashes(step, from, body),
  entries: (step, body, from) => gossip.receiveEntries(step, from, body),
};
