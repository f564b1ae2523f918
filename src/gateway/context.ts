/** Dependencies and state that all requests on a host share.
 * @module */

import type * as undici from "undici";
import type * as accountShares from "../account_shares/mod.ts";
import type * as configurations from "../configuration/mod.ts";
import type * as batching from "../batching/mod.ts";
import type * as concurrency from "../concurrency/mod.ts";
import type * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import type * as origins from "../origins/mod.ts";
import type * as quarantine from "../quarantine/mod.ts";
import type * as rateLimits from "../rate_limits/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as callDurations from "./call_durations.ts";
import type * as calibrations from "./calibration.ts";
import type * as inputRetentions from "./input_retention.ts";
import type * as priorWaits from "./prior_wait.ts";
import type * as placements from "./placement.ts";
import type * as endpointPools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import type * as retryBudgets from "./retry_budget.ts";
import type * as loadUpdates from "./load_updates.ts";

/** The configuration and the fleet as this host currently knows them. */
export interface FleetView {
  /** Undefined until the first version of the configuration arrives. */
  catalogue(): configurations.Catalogue | undefined;
  /** Milliseconds by which the configuration may be out of date. */
  configurationAge(): number;
  /** Number of hosts that share the retry budget; at least 1. Hosts that were
   * lost within its window still count. */
  hostCount(): number;
}

/** Paths to endpoints, which are identified by their addresses. */
export interface PathView {
  /** Host through which calls to an endpoint go; undefined if they go
   * directly. */
  relayOf(address: string): string | undefined;
  /** Whether other endpoints have sent something since a time on the kind of path
   * that leads to this one. */
  hasReceivedFromOthers(address: string, since: number): boolean;
}

/** Dependencies of requests, provided by their host. */
export interface Context {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly protocol: protocols.GatewayProtocol;
  readonly dispatcher: undici.Dispatcher;
  readonly partialAnswers: Pick<
    partialAnswers.PartialAnswers,
    "update" | "remove" | "sum"
  >;
  readonly dataCentre: string;
  readonly pool: endpointPools.EndpointPool;
  readonly paths: PathView;
  readonly batcherClient: Pick<
    batching.BatcherClient,
    | "selectPartition"
    | "dataCentresBeside"
    | "compute"
    | "reserve"
    | "release"
    | "cancel"
  >;
  readonly placement: Pick<placements.Placement, "place">;
  readonly fleetView: FleetView;
  readonly calibration: calibrations.Calibration;
  readonly callDurations: callDurations.CallDurations;
  readonly priorWait: priorWaits.PriorWait;
  readonly inputRetention: inputRetentions.InputRetention;
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
  readonly slots: Pick<
    concurrency.SlotClient,
    "blockedEndpoints" | "isLimited" | "acquire" | "begin" | "end"
  >;
  readonly origins: Pick<origins.OriginClient, "record" | "find">;
  readonly loadUpdates: Pick<loadUpdates.LoadUpdates, "record">;
  /** Absent where accounts have no shares. */
  readonly accountShares?: Pick<accountShares.AccountShares, "admit">;
  /** Time at which the host started, by its clock. */
  readonly startedAt: number;
  /** Age of the configuration in milliseconds above which requests are refused,
   * since API keys may have been revoked. */
  readonly maxConfigurationAge: number;
  retryBudget(service: string): retryBudgets.RetryBudget;
  isDraining(): boolean;
  /** Whether the host stops too soon to finish a new request. */
  isStopping(): boolean;
  /** Time at which a host that drains ends what is still in flight; infinite
   * while it does not drain. */
  stopsAt(): number;
}
