/** Settings of a host that finds the others by seeds, as an adapter of its
 * platform decodes them. Times are in milliseconds.
 * @module */

import type * as httpListener from "./http_listener.ts";

/** Bounds that the platform holds hosts to. */
export interface Bounds {
  /** Within which a drain that was acknowledged is known everywhere. */
  readonly drainPropagation: number;
  /** From the signal to stop until the process is ended. */
  readonly shutdownGrace: number;
  /** After which a key that was taken away must not serve any more. */
  readonly keyRevocation: number;
  /** Part of a service's requests that may be sent once more. */
  readonly retryRatio: number;
  /** Number of requests that may be sent once more beyond that. */
  readonly retryBurst: number;
  /** Over which both are counted. */
  readonly retryWindow: number;
}

/** Settings of a host. */
export interface HostSettings {
  /** Name for people. */
  readonly name: string;
  /** IP number, which is also the id of the host. */
  readonly host: string;
  readonly dataCentre: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Port that all hosts listen on for each other. */
  readonly peerPort: number;
  /** Hosts with disks that are asked first. */
  readonly seeds: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isBootstrap: boolean;
  /** Hosts with disks whose loss at once must be borne. */
  readonly toleratedLosses: number;
  /** Milliseconds between the heartbeats of an endpoint. */
  readonly heartbeatInterval: number;
  readonly bounds: Bounds;
  readonly callerAddress?: httpListener.ListenAddress;
  readonly readinessAddress?: httpListener.ListenAddress;
  readonly controlAddress?: httpListener.ListenAddress;
  readonly dataFolder?: string;
  /** Where counters are served as text; the port among those free. */
  readonly metrics?: {
    readonly listenAddress: httpListener.ListenAddress;
    readonly path: string;
  };
}
