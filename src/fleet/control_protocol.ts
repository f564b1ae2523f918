/** HTTP requests of operators and endpoints to a control host, as the platform
 * adapter decodes them.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as endpoints from "../endpoints/mod.ts";

/** A request that has been received. */
export interface ControlRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
}

/** The command that a request contains. */
export type ControlCommand =
  | {
    type: "replace";
    document: string;
    configuration: configurations.Configuration;
  }
  | { type: "read" }
  /** Begins or ends the evacuation of a data centre. */
  | { type: "evacuate"; dataCentre: string; active: boolean }
  | { type: "heartbeat"; sighting: endpoints.EndpointStatus; coldFor: number }
  | { type: "leave"; id: string; born?: number }
  /** A known request whose content cannot be decoded. */
  | { type: "malformed"; detail: string; fault: string }
  | { type: "unknown" };

/** The connection that a command arrived on. */
export interface ControlConnection {
  /** Whether the client has disconnected. */
  isClosed(): boolean;
}

/** Response to a request. */
export interface ControlResponse {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
  /** Why the request cannot be decoded. */
  readonly fault?: string;
}

/** Decodes requests to control hosts. */
export interface ControlProtocol {
  /** Whether the body of a request is a configuration. */
  isConfiguration(request: Pick<ControlRequest, "method" | "target">): boolean;
  decode(request: ControlRequest): ControlCommand;
}

/** Creates an error response. */
export function problem(status: number, detail: string): ControlResponse {
  return { status, body: JSON.stringify({ detail }) };
}
