/** What the request path of a host is made from, and what it shows.
 *
 * A host assembles it as follows:
 *
 *     const path = RequestPath.create({ settings, clock, random, ... });
 *     path.setPolicies(policies);
 *     path.setEndpoints(endpoints);
 *     await path.start();
 *     path.drain();        // refuses new requests, finishes the others
 *     await path.stop();   // drains, waits for the last one, closes
 *
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as event from "./event.ts";
import type * as policySet from "./policy_set.ts";
import type * as request from "./request.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as telemetry from "../telemetry/metrics.ts";

/** A client account as its token names it. */
export interface Account {
  name: string;
  /** SHA-256 of the bearer token, hex. */
  tokenHash: string;
}

/** Finds the account whose token has this SHA-256, in lower-case hex. */
export type FindAccount = (tokenHash: string) => Account | undefined;

/** An endpoint that calls can be sent to. */
export interface ReachableEndpoint extends event.Endpoint {
  /** Base URL, without a final slash. */
  url: string;
}

/** A checked announcement, or a leave, heard on the callers' port. */
export type Notice =
  | {
    type: "announce";
    endpoint: string;
    announcement: endpoint.Announcement;
  }
  | {
    type: "leave";
    endpoint: string;
    /** Run that leaves; a later one stays. Any run when absent. */
    incarnation?: number;
  };

/** Takes a notice; answers milliseconds of lease, or why it is refused. */
export type TakeNotice = (notice: Notice) => Promise<NoticeResult>;

/** Answer to a notice. */
export type NoticeResult =
  | { type: "taken"; lease: number }
  | { type: "rejected"; detail: string };

/** What a claim is made for. */
export interface Claim {
  account: string;
  /** Value of the `Idempotency-Key` header. */
  key: string;
  /** SHA-256 of target and body: tells a resend from another request. */
  fingerprint: string;
  request: string;
  /** Milliseconds left to the request's deadline. */
  remaining: number;
}

/** What became of a claim; only `granted` lets the request run. */
export type ClaimResult =
  | { type: "granted" }
  | { type: "answered"; answer: StoredAnswer }
  | { type: "in-progress" }
  | { type: "refused"; detail: string; outcome: request.Outcome };

/** An answer kept for resends. */
export interface StoredAnswer {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/** Claims of idempotency keys, committed by a quorum before dispatch. */
export interface Claims {
  claim(claim: Claim): Promise<ClaimResult>;
  /** Keeps the final answer; undefined gives the claim back as not run. */
  settle(claim: Claim, answer: StoredAnswer | undefined): void;
}

/** State changes worth a line in the log. */
export interface Log {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
}

/** Parts and settings of a request path. */
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
  /** Without it, a request that is not idempotent may bring no key. */
  claims?: Claims;
  /** Decisions; the plain ones when absent. */
  policySet?: policySet.PolicySet;
  /** Parts that watch requests and calls, and decide nothing. */
  observers?: readonly policySet.Observer[];
}
