/** An entry host's part in the exchange of slowness with control hosts, and its
 * log lines and metrics.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as servicePerformances from "./service_performance.ts";
import type * as slownesses from "./slowness.ts";

/** Most reports in a message, by its schema. */
const MAX_REPORTS = 1024;

/** Dependencies of an exchange. */
export interface SlownessExchangeOptions {
  readonly clock: Pick<runtime.Clock, "now">;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  /** Estimates of this host, by service. */
  performances(): ReadonlyMap<string, servicePerformances.ServicePerformance>;
  /** Service and name of an endpoint; undefined for an unknown one. */
  identityOf(
    endpoint: string,
  ): { readonly service: string; readonly name: string } | undefined;
  /** Whether a service's endpoints are called by all hosts. */
  isShared(service: string): boolean;
}

/** Exchange of observations and estimates between one host and the others. */
export class SlownessExchange {
  readonly #options: SlownessExchangeOptions;
  readonly #uneven = new Set<string>();
  /** Names of the endpoints in the metric, by service. */
  readonly #named = new Map<string, Set<string>>();

  private constructor(options: SlownessExchangeOptions) {
    this.#options = options;
  }

  static create(options: SlownessExchangeOptions): SlownessExchange {
    return new SlownessExchange(options);
  }

  /** Observations of shared services since the last call. */
  takeReports(): slownesses.SlownessReport[] {
    const { performances, isShared } = this.#options;
    return [...performances()]
      .flatMap(([service, performance]) => {
        const reports = performance.takeReports();
        return isShared(service) ? reports : [];
      })
      .slice(0, MAX_REPORTS);
  }

  /** Adopts the estimates of all hosts. */
  adopt(reports: readonly slownesses.SlownessReport[]): void {
    const { clock, performances, identityOf, isShared } = this.#options;
    const byService = new Map<string, slownesses.SlownessReport[]>();
    for (const report of reports) {
      const service = identityOf(report.endpoint)?.service;
      if (service === undefined || !isShared(service)) continue;
      const known = byService.get(service);
      if (known === undefined) byService.set(service, [report]);
      else known.push(report);
    }
    for (const [service, adopted] of byService) {
      performances().get(service)?.adopt(adopted, clock.now());
    }
  }

  /** Logs which services have become uneven or even, and sets the metrics. */
  record(): void {
    for (const [service, performance] of this.#options.performances()) {
      this.#record(service, performance);
    }
  }

  #record(
    service: string,
    performance: servicePerformances.ServicePerformance,
  ): void {
    const { clock, metrics, logger } = this.#options;
    const now = clock.now();
    const isUneven = performance.isUneven(now);
    const wasUneven = this.#uneven.has(service);
    if (!isUneven && !wasUneven) return;
    metrics.gauge("performance.uneven", isUneven ? 1 : 0, { service });
    this.#recordEndpoints(service, performance);
    if (isUneven === wasUneven) return;
    if (isUneven) this.#uneven.add(service);
    else this.#uneven.delete(service);
    logger.info(
      { service, ...performance.range(now) },
      isUneven ? "Service became uneven" : "Service became even",
    );
  }

  /** Sets the slowness that is in use, which is 1 once a service is even. */
  #recordEndpoints(
    service: string,
    performance: servicePerformances.ServicePerformance,
  ): void {
    const { clock, metrics, identityOf } = this.#options;
    const named = this.#named.get(service) ?? new Set();
    const ended = new Set(named);
    for (const endpoint of performance.endpoints) {
      const name = identityOf(endpoint)?.name;
      if (name === undefined) continue;
      const slowness = performance.slowness(endpoint, clock.now());
      const labels = { service, endpoint: name };
      metrics.gauge("performance.slowness", slowness, labels);
      named.add(name);
      ended.delete(name);
    }
    for (const name of ended) {
      const labels = { service, endpoint: name };
      metrics.gauge("performance.slowness", 1, labels);
      named.delete(name);
    }
    this.#named.set(service, named);
  }
}
