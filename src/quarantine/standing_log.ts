/** Logs when a host comes to hold a prompt part in quarantine, and when it ends
 * that. The records of the parts that merely ran beside are too many for a line
 * each.
 * @module */

import type * as telemetry from "../telemetry/mod.ts";
import type * as suspectTables from "./suspect_table.ts";

/** Dependencies of a `StandingLog`. */
export interface StandingLogOptions {
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
}

/** The quarantined parts that one host has logged. Mutable. */
export class StandingLog {
  readonly #options: StandingLogOptions;
  #quarantined: ReadonlySet<string> = new Set();

  private constructor(options: StandingLogOptions) {
    this.#options = options;
  }

  static create(options: StandingLogOptions): StandingLog {
    return new StandingLog(options);
  }

  /** Logs what has changed since the last call. */
  update(table: suspectTables.SuspectTable): void {
    const { logger, metrics } = this.#options;
    const before = this.#quarantined;
    const now = table.blame.quarantinedParts;
    this.#quarantined = now;
    const changed = [...before, ...now].filter((each) =>
      before.has(each) !== now.has(each)
    );
    for (const fingerprint of changed) {
      const { activeCrashes, answers, acquittals, trials } = table.get(
        fingerprint,
      );
      const standing = now.has(fingerprint) ? "quarantined" : "free";
      metrics.count("quarantine.parts", 1, { standing });
      const endpoints = activeCrashes.map(({ endpoint }) => endpoint);
      logger.info(
        { fingerprint, standing, endpoints, answers, acquittals, trials },
        "Standing of a prompt part changed",
      );
    }
  }
}
