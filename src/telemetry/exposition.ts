/** Metrics in the Prometheus text format, for collectors that scrape them.
 * @module */

import * as prometheus from "prom-client";
import type * as measuring from "./metrics.ts";
import * as names from "./names.ts";

/** Upper bounds of the histogram buckets, from the duration of a call within a
 * data centre to the longest deadline. */
const BUCKETS_MS = [1, 5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 15_000];

type Metric =
  | prometheus.Counter
  | prometheus.Histogram
  | prometheus.Gauge;

/** The metrics of one process in a Prometheus registry. */
export class Exposition implements measuring.Metrics {
  readonly #registry = new prometheus.Registry();
  readonly #metrics = new Map<string, Metric>();

  static create(): Exposition {
    return new Exposition();
  }

  count(name: names.CountName, by = 1, labels: measuring.Labels = {}): void {
    const counter = this.#metric(name, labels) as prometheus.Counter;
    counter.inc({ ...labels }, by);
  }

  time(name: names.TimeName, ms: number, labels: measuring.Labels = {}): void {
    const histogram = this.#metric(name, labels) as prometheus.Histogram;
    histogram.observe({ ...labels }, ms);
  }

  gauge(
    name: names.GaugeName,
    value: number,
    labels: measuring.Labels = {},
  ): void {
    const gauge = this.#metric(name, labels) as prometheus.Gauge;
    gauge.set({ ...labels }, value);
  }

  /** All metrics in the text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Finds or registers a metric; its label names are fixed by its first use. */
  #metric(name: names.Name, labels: measuring.Labels): Metric {
    const existing = this.#metrics.get(name);
    if (existing !== undefined) return existing;
    const { type, help } = names.metrics[name];
    const options = {
      name: `chicoryloft_${name.replaceAll(".", "_")}`,
      help,
      labelNames: Object.keys(labels),
      registers: [this.#registry],
    };
    const metric = FACTORIES[type](options);
    this.#metrics.set(name, metric);
    return metric;
  }
}

interface MetricOptions {
  name: string;
  help: string;
  labelNames: string[];
  registers: prometheus.Registry[];
}

const FACTORIES: Readonly<
  Record<names.Description["type"], (options: MetricOptions) => Metric>
> = {
  count: (options) => new prometheus.Counter(options),
  time: (options) =>
    new prometheus.Histogram({ ...options, buckets: BUCKETS_MS }),
  gauge: (options) => new prometheus.Gauge(options),
};
