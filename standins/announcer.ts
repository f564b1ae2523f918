/** Announces a stand-in to the hosts and renews its lease.
 * @module */

import * as undici from "undici";
import type * as runtime from "../src/runtime/mod.ts";
import type * as endpoint from "../src/schema/endpoint_types.ts";

/** Whom to announce, and to whom. */
export interface Options {
  id: string;
  announcement(): endpoint.Announcement;
  /** Base URLs of the callers' ports, taken in turn. */
  hosts: readonly string[];
  /** Endpoint token. */
  token?: string;
  clock: runtime.Clock;
  /** Host to begin with. */
  first?: number;
}

/** Milliseconds between two tries while no host answers. */
const RETRY = 200;
/** Milliseconds that a host may take. */
const PATIENCE = 1000;
const LEASE_PARTS = 3;

/** Keeps a lease alive until told to leave. */
export class Announcer {
  readonly #options: Options;
  readonly #incarnation: number;
  #next: number;
  #timer: runtime.Cancel | undefined;
  #stopped = false;
  #renewals = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#next = options.first ?? 0;
    this.#incarnation = Math.max(0, Math.floor(options.clock.wall()));
  }

  /** Announcements that a host has answered. */
  get renewals(): number {
    return this.#renewals;
  }

  /** Announces, and goes on renewing; resolves after the first try. */
  async start(): Promise<void> {
    this.#stopped = false;
    await this.#renew();
  }

  /** Stops renewing and says nothing, as the death of a process does. */
  vanish(): void {
    this.#stopped = true;
    this.#timer?.();
  }

  /** Stops renewing and leaves. */
  async leave(): Promise<void> {
    this.vanish();
    const { hosts } = this.#options;
    for (let tries = 0; tries < hosts.length; tries++) {
      if (await this.#send("DELETE") !== undefined) return;
    }
  }

  async #renew(): Promise<void> {
    const lease = await this.#send("PUT");
    if (this.#stopped) return;
    if (lease !== undefined) this.#renewals++;
    const delay = lease === undefined ? RETRY : lease / LEASE_PARTS;
    this.#timer = this.#options.clock.after(delay, () => void this.#renew());
  }

  /** Lease in milliseconds, or undefined when the host did not answer. */
  async #send(method: "PUT" | "DELETE"): Promise<number | undefined> {
    const { id, hosts, token, announcement } = this.#options;
    if (hosts.length === 0) return undefined;
    const host = hosts[this.#next++ % hosts.length];
    const body = { ...announcement(), incarnation: this.#incarnation };
    try {
      const query = method === "PUT" ? "" : `?incarnation=${this.#incarnation}`;
      const url = `${host}/v1/endpoints/${id}${query}`;
      const answer = await undici.request(url, {
        method,
        headers: {
          "content-type": "application/json",
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        },
        ...(method === "PUT" ? { body: JSON.stringify(body) } : {}),
        headersTimeout: PATIENCE,
        bodyTimeout: PATIENCE,
      });
      const text = await answer.body.text();
      if (answer.statusCode >= 300) return undefined;
      return method === "DELETE" ? 0 : readLease(text);
    } catch {
      return undefined;
    }
  }
}

function readLease(text: string): number | undefined {
  const { lease } = JSON.parse(text) as { lease?: unknown };
  return typeof lease === "number" && lease > 0 ? lease : undefined;
}
