/** Metrics and logs. All metric names are declared in one documented list; the
 * logger redacts secrets.
 * @module */

export { bound as boundLogger, type LogBounds } from "./bounded_logger.ts";
export { Exposition } from "./exposition.ts";
export { combine, type Labels, type Metrics, noMetrics } from "./metrics.ts";
export {
  createLogger,
  type Destination,
  type Level,
  type Logger,
  noLogger,
} from "./logger.ts";
export {
  type CountName,
  type GaugeName,
  metrics,
  type Name,
  type TimeName,
} from "./names.ts";
export { open as openStatsd, type Statsd } from "./statsd.ts";
export { Tally, type TimeSummary, type Totals } from "./tally.ts";
