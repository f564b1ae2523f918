/** What operators and endpoints say to a control host, as an adapter of their
 * platform decodes it.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as endpoints from "../endpoints/mod.ts";

/** A call that was read. */
export interface ControlRequest {
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly body: Buffer;
}

/** What a call asks for. */
export type ControlCommand =
  | {
    type: "replace";
    document: string;
    configuration: configurations.Configuration;
  }
  | { type: "read" }
  /** Begins the evacuation of a data centre, or ends it. */
  | { type: "evacuate"; dataCentre: string; active: boolean }
  | { type: "heartbeat"; sighting: endpoints.EndpointStatus; coldFor: number }
  | { type: "leave"; id: string; born?: number }
  /** A call that there is, with content that cannot be read. */
  | { type: "malformed"; detail: string; fault: string }
  | { type: "unknown" };

/** Who has sent an order. */
export interface ControlConnection {
  /** Whether the call's connection has ended. */
  isClosed(): boolean;
}

/** Answer to a call. */
export interface ControlResponse {
  readonly status: number;
  /** JSON text. */
  readonly body: string;
}

/** Decodes calls to control hosts. */
export interface ControlProtocol {
  decode(call: ControlRequest): ControlCommand;
}

/** An answer that says what is wrong. */
export function problem(status: number, detail: string): ControlResponse {
  return { status, body: JSON.stringify({ detail }) };
}
