/** Events that the dispatcher handles.
 * @module */

import type * as endpoint from "../schema/endpoint_types.ts";
import type * as request from "./request.ts";

/** An endpoint as the dispatcher sees it. */
export interface Endpoint {
  id: string;
  service: string;
  kind: endpoint.EndpointKind;
  dataCentre: string;
  slots: number;
  role: endpoint.EngineRole;
  state: "ready" | "draining";
  /** Incarnation of the endpoint, when known; a new one has empty caches. */
  generation?: number;
}

/** Last reported load of an endpoint. */
export interface Load {
  running: number;
  waiting: number;
  /** Share of KV memory in use, 0 to 1. */
  kvUsed: number;
  /** Estimated time of the report on the host's clock. */
  at: number;
}

/** Weights and limits of one account or request kind, from the table. */
export interface Policy {
  weight?: number;
  /** Requests per second, this host's share. */
  rate?: number;
  /** Requests in flight, this host's share. */
  concurrency?: number;
  /** Milliseconds. */
  deadline?: number;
  priority?: number;
  /** Extra cost that may be spent to meet deadlines, as a ratio from 0 to 1. */
  spend?: number;
}

/** Policies by row of the table, such as `account/kivu-crew`. */
export type Policies = ReadonlyMap<string, Policy>;

/** One event of a dispatcher. */
export type Event =
  | { type: "arrive"; request: request.Request }
  | { type: "progress"; attempt: request.Attempt; received: number }
  | {
    type: "answer";
    attempt: request.Attempt;
    usage: request.Usage;
    /** Size of the next stage's input in tokens. */
    size: number;
    /** Prefix blocks of the next stage's prompt. */
    prefix: readonly string[];
  }
  | { type: "fail"; attempt: request.Attempt; failure: request.Failure }
  | { type: "abandon"; request: string }
  | { type: "endpoints"; endpoints: readonly Endpoint[] }
  | { type: "load"; endpoint: string; load: Load }
  | {
    type: "cache";
    endpoint: string;
    sequence: number;
    stored: readonly string[];
    removed: readonly string[];
  }
  | { type: "policies"; policies: Policies }
  | { type: "wake" }
  | { type: "drain" };
