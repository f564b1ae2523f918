/** Settings of a control host or entry host, as the platform adapter decodes
 * them. Times are in milliseconds.
 * @module */

import * as runtime from "../runtime/mod.ts";
import type * as httpListener from "./http_listener.ts";

/** Limits that the platform requires hosts to keep. */
export interface Bounds {
  /** Time from the acknowledgement of a drain until all hosts know of it. */
  readonly drainPropagation: number;
  /** Time from the stop signal until the platform kills the process. */
  readonly shutdownGrace: number;
  /** Time after which a revoked API key must no longer be accepted. */
  readonly keyRevocation: number;
  /** Fraction of a service's requests that may be retried. */
  readonly retryRatio: number;
  /** Number of retries that are allowed beyond that fraction. */
  readonly retryBurst: number;
  /** Sliding window over which both are counted. */
  readonly retryWindow: number;
}

/** Parts of a host that can be turned off. */
export const OPTIONAL_PARTS = [
  "performance",
  "account-shares",
  "host-capacity",
] as const;

/** A part of a host that can be turned off. */
export type OptionalPart = typeof OPTIONAL_PARTS[number];

/** Names of the limits that a host keeps for all of its clients together. */
export const LIMIT_NAMES = [
  "request-bytes",
  "connections",
  "pipelined-requests",
  "configuration-values",
] as const;

/** Name of such a limit. */
export type LimitName = typeof LIMIT_NAMES[number];

/** Limits in place of their defaults, by name. */
export type ClientLimits = Partial<Readonly<Record<LimitName, number>>>;

/** Whether a host with these settings takes part in account shares. */
export function hasAccountShares(
  { sharesAccounts, disabledParts }: Pick<
    HostSettings,
    "sharesAccounts" | "disabledParts"
  >,
): boolean {
  return sharesAccounts && !disabledParts.has("account-shares");
}

/** Processor capacity that a host announces to others; undefined if it
 * announces none. */
export function announcedCapacity(
  { capacity, disabledParts }: Pick<HostSettings, "capacity" | "disabledParts">,
): number | undefined {
  return disabledParts.has("host-capacity") ? undefined : capacity;
}

/** Memory that a host may use, in bytes: a part of its machine's memory if its
 * settings name no limit. */
export function memoryOf(
  { memory }: Pick<HostSettings, "memory">,
): number {
  return memory || runtime.assumedMemory();
}

/** Settings of a host. */
export interface HostSettings {
  /** Display name, used in log lines. */
  readonly name: string;
  /** IP address, which is also the host's id. */
  readonly host: string;
  readonly dataCentre: string;
  /** Region of each data centre, by the data centre's name. */
  readonly regions: Readonly<Record<string, string>>;
  /** Port that every host listens on for connections from other hosts. */
  readonly peerPort: number;
  /** Control hosts to contact first. */
  readonly seeds: readonly string[];
  /** Whether the fleet is started for the first time. */
  readonly isBootstrap: boolean;
  /** Number of control hosts whose simultaneous loss must be tolerated. */
  readonly toleratedLosses: number;
  /** Interval at which endpoints send heartbeats. */
  readonly heartbeatInterval: number;
  readonly bounds: Bounds;
  /** Memory that the process may use, in bytes; undefined without a limit. */
  readonly memory?: number;
  /** Descriptors that the process may open for sockets; undefined if it is not
   * known. */
  readonly descriptors?: number;
  /** Limits for all clients together in place of their defaults. */
  readonly limits: ClientLimits;
  /** Processor that the host has, in cores; undefined if it is not known. */
  readonly capacity?: number;
  /** Whether client accounts get fair shares of services under contention. */
  readonly sharesAccounts: boolean;
  /** Parts that are turned off, for comparisons. */
  readonly disabledParts: ReadonlySet<OptionalPart>;
  readonly callerAddress?: httpListener.ListenAddress;
  readonly readinessAddress?: httpListener.ListenAddress;
  readonly controlAddress?: httpListener.ListenAddress;
  readonly dataFolder?: string;
  /** Where metrics are served in the Prometheus text format. */
  readonly metrics?: {
    readonly listenAddress: httpListener.ListenAddress;
    readonly path: string;
  };
}
