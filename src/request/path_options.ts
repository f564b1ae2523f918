/** Options of the request path, and the interfaces that it uses of its host.
 *
 * A host assembles it as follows:
 *
 *     const path = RequestPath.create({ settings, clock, random, ... });
 *     path.setPolicies(policies);
 *     path.setEndpoints(endpoints);
 *     await path.start();
 *     path.drain();        // refuses new requests, completes the others
 *     await path.stop();   // drains, waits for requests in flight, closes
 *
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as event from "./event.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as telemetry from "../telemetry/metrics.ts";

/** A client account, identified by its bearer token. */
export interface Account {
  name: string;
  /** SHA-256 of the bearer token, hex. */
  tokenHash: string;
}

/** Looks up an account by the SHA-256 of its token, in lower-case hex. */
export type FindAccount = (tokenHash: string) => Account | undefined;

/** An endpoint that calls can be sent to. */
export interface ReachableEndpoint extends event.Endpoint {
  /** Base URL, without a final slash. */
  url: string;
}

/** A validated announcement or leave that an endpoint sent to the callers'
 * port. */
export type Notice =
  | {
    type: "announce";
    endpoint: string;
    announcement: endpoint.Announcement;
  }
  | {
    type: "leave";
    endpoint: string;
    /** Incarnation that leaves; a later one stays registered. When absent, any
     * incarnation leaves. */
    incarnation?: number;
  };

/** Handles a notice; resolves with the lease in milliseconds or the reason of
 * the rejection. */
export type TakeNotice = (notice: Notice) => Promise<NoticeResult>;

/** Result of a notice. */
export type NoticeResult =
  | { type: "taken"; lease: number }
  | { type: "rejected"; detail: string };

/** Claim of an idempotency key for one request. */
export interface Claim {
  account: string;
  /** Value of the `Idempotency-Key` header. */
  key: string;
  /** SHA-256 of target and body: distinguishes a resend from another request
   * under the same key. */
  fingerprint: string;
  request: string;
  /** Milliseconds until the request's deadline. */
  remaining: number;
}

/** Result of a claim; only a `granted` request runs. */
export type ClaimResult =
  | { type: "granted" }
  | { type: "answered"; answer: StoredAnswer }
  | { type: "in-progress" }
  | { type: "refused"; detail: string; outcome: request.Outcome };

/** An answer stored for resends with the same key. */
export interface StoredAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** What is stored of a request that ran: its answer, or only that it ran. */
export type Settlement = StoredAnswer | "not-kept";

/** Claims of idempotency keys, committed by a quorum before dispatch. */
export interface Claims {
  claim(claim: Claim): Promise<ClaimResult>;
  /** Stores how the request ended; undefined releases the claim, since it did
   * not run. */
  settle(claim: Claim, settlement: Settlement | undefined): void;
}

/** Logger of state changes. */
export interface Log {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
}

/** Dependencies and settings of a request path. */
export interface PathOptions {
  settings: settings.Settings;
  clock: runtime.Clock;
  random: runtime.Random;
  metrics: telemetry.Metrics;
  log: Log;
  accounts: FindAccount;
  /** Bearer token of endpoints; without one, announcements are refused. */
  endpointToken?: string;
  notices?: TakeNotice;
  /** Without it, a request that is not idempotent is refused if it has a key. */
  claims?: Claims;
  /** Policies; the baseline policies when absent. */
  policySet?: policySet.PolicySet;
  /** Observers of requests and calls, which make no decisions. */
  observers?: readonly policySet.Observer[];
}
