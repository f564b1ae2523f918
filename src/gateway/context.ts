/** What requests on one host share.
 * @module */

import type * as undici from "undici";
import type * as configurations from "../configuration/mod.ts";
import type * as pieces from "../batching/mod.ts";
import type * as quarantine from "../quarantine/mod.ts";
import type * as rateLimits from "../rate_limits/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as calibrations from "./calibration.ts";
import type * as inputHolds from "./input_retention.ts";
import type * as patiences from "./prior_wait.ts";
import type * as placements from "./placement.ts";
import type * as pools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import type * as retryBudget from "./retry_budget.ts";
import type * as loadGossips from "./load_updates.ts";

/** The configuration in force, and what is known of the fleet. */
export interface FleetView {
  /** Undefined before the first version has come. */
  catalogue(): configurations.Catalogue | undefined;
  /** Milliseconds by which the configuration may be too old. */
  configurationAge(): number;
  /** Hosts that share the retry budget; at least 1. */
  hostCount(): number;
}

/** What requests need of their host. */
export interface Context {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly protocol: protocols.GatewayProtocol;
  readonly dispatcher: undici.Dispatcher;
  readonly dataCentre: string;
  readonly pool: pools.EndpointPool;
  readonly maker: Pick<
    pieces.BatcherClient,
    "selectPartition" | "compute" | "reserve" | "release" | "cancel"
  >;
  readonly placement: Pick<placements.Placement, "place">;
  readonly fleetView: FleetView;
  readonly calibration: calibrations.Calibration;
  readonly priorWait: patiences.PriorWait;
  readonly inputRetention: inputHolds.InputRetention;
  readonly guard: Pick<
    quarantine.Guard,
    | "hasNoSuspects"
    | "refusal"
    | "admit"
    | "recordCrash"
    | "recordSuccess"
    | "endRun"
  >;
  readonly quotas: Pick<
    rateLimits.QuotaClient,
    "recordLimit" | "isLimited" | "needsProbe" | "blockedEndpoints" | "acquire"
  >;
  readonly loadUpdates: Pick<loadGossips.LoadUpdates, "record">;
  /** When the host started, by its clock. */
  readonly startedAt: number;
  /** Greatest age of the configuration with which a key is believed. */
  readonly maxConfigurationAge: number;
  retryBudget(service: string): retryBudget.RetryBudget;
  isDraining(): boolean;
  /** Whether the host ends so soon that no new request would be finished. */
  isStopping(): boolean;
}
