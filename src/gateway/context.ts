/** What requests on one host share.
 * @module */

import type * as undici from "undici";
import type * as configurations from "../configuration/mod.ts";
import type * as pieces from "../pieces/mod.ts";
import type * as quarantine from "../quarantine/mod.ts";
import type * as rateLimits from "../rate_limits/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as calibrations from "./calibration.ts";
import type * as inputHolds from "./input_hold.ts";
import type * as patiences from "./patience.ts";
import type * as placements from "./placement.ts";
import type * as pools from "./pool.ts";
import type * as protocols from "./protocol.ts";
import type * as retryBudget from "./retry_budget.ts";
import type * as loadGossips from "./load_gossip.ts";

/** The configuration in force, and what is known of the fleet. */
export interface Knowledge {
  /** Undefined before the first version has come. */
  catalogue(): configurations.Catalogue | undefined;
  /** Milliseconds by which the configuration may be too old. */
  age(): number;
  /** Hosts that share the retry budget; at least 1. */
  hosts(): number;
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
  readonly pool: pools.Pool;
  readonly maker: Pick<
    pieces.Maker,
    "cell" | "make" | "book" | "release" | "drop"
  >;
  readonly placement: Pick<placements.Placement, "place">;
  readonly knowledge: Knowledge;
  readonly calibration: calibrations.Calibration;
  readonly patience: patiences.Patience;
  readonly inputHold: inputHolds.InputHold;
  readonly guard: Pick<
    quarantine.Guard,
    | "isCalm"
    | "refusal"
    | "admit"
    | "noteCrash"
    | "noteAnswer"
    | "noteEnd"
  >;
  readonly quotas: Pick<
    rateLimits.QuotaClient,
    "note" | "isLimited" | "isDue" | "withheld" | "take"
  >;
  readonly loadGossip: Pick<loadGossips.LoadGossip, "note">;
  /** When the host started, by its clock. */
  readonly started: number;
  /** Greatest age of the configuration with which a key is believed. */
  readonly greatestAge: number;
  budget(service: string): retryBudget.RetryBudget;
  isDraining(): boolean;
  /** Whether the host ends so soon that no new request would be finished. */
  isEnding(): boolean;
}
