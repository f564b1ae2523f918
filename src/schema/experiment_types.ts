/** Types generated from schema/experiment.yaml.
 * @module */

/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Name".
 */
export type Name = string;
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Call".
 */
export type Call = PipelineCall | ServiceCall;
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Distribution".
 */
export type Distribution = Fixed | Uniform | Lognormal;

/**
 * Load on a running system, or on one embedded in the tool, with faults by
 * schedule. Times are milliseconds from the start of the run.
 *
 */
export interface Experiment {
  name: Name;
  description?: string;
  /**
   * Whose stand-ins the run uses.
   */
  deployment: "kivu" | "tran-gia";
  /**
   * 1 when absent.
   */
  seed?: number;
  /**
   * Milliseconds in which requests are sent.
   */
  duration: number;
  /**
   * Requests after which no more are sent; 50000 when absent.
   */
  requests?: number;
  /**
   * Milliseconds past its deadline that a caller waits for a final answer;
   * 3000 when absent.
   *
   */
  patience?: number;
  target?: Target;
  /**
   * Hosts of the embedded system; 1 when absent.
   */
  hosts?: number;
  engines?: Engines;
  arrivals: Arrivals;
  /**
   * @minItems 1
   */
  mix: [Entry, ...Entry[]];
  faults?: ScheduledFault[];
}
/**
 * A running system; when absent, one is embedded.
 *
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Target".
 */
export interface Target {
  /**
   * Base URLs of the callers' ports, taken in turn.
   *
   * @minItems 1
   */
  hosts: [string, ...string[]];
  /**
   * Base URL of the control interface of the stand-ins.
   */
  standIns: string;
}
/**
 * Changes to the engines of embedded stand-ins.
 *
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Engines".
 */
export interface Engines {
  slots?: number;
  stepTime?: number;
  prefillTime?: number;
  decodeTime?: number;
  stride?: number;
  cacheBlocks?: number;
  gaps?: number;
}
/**
 * Poisson arrivals that do not wait for answers.
 *
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Arrivals".
 */
export interface Arrivals {
  /**
   * Requests a second.
   */
  rate: number;
  bursts?: Burst[];
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Burst".
 */
export interface Burst {
  at: number;
  for: number;
  /**
   * How many times the rate.
   */
  factor: number;
}
/**
 * Requests of one account and kind.
 *
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Entry".
 */
export interface Entry {
  account: Name;
  token?: Secret;
  kind: Name;
  /**
   * Weight in the mix.
   */
  share: number;
  deadline: number;
  call: Call;
  input: Input;
  tokens?: Distribution;
  maxTokens?: number;
  stream?: boolean;
  /**
   * true when absent.
   */
  idempotent?: boolean;
  /**
   * Sends an Idempotency-Key.
   */
  key?: boolean;
  /**
   * Times that a caller asks again, under the same key, when the answer
   * was lost or the system said when to come back; 0 when absent.
   *
   */
  resends?: number;
}
/**
 * Bearer token by reference; `sample-ACCOUNT` when absent.
 *
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Secret".
 */
export interface Secret {
  env?: string;
  file?: string;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "PipelineCall".
 */
export interface PipelineCall {
  type: "pipeline";
  pipeline: Name;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "ServiceCall".
 */
export interface ServiceCall {
  type: "service";
  service: Name;
  /**
   * POST when absent.
   */
  method?: "GET" | "POST" | "PUT" | "DELETE";
  path: string;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Input".
 */
export interface Input {
  characters: Distribution;
  /**
   * How many different texts the inputs begin with, such as the
   * histories of vessels; each input has its own when absent.
   *
   */
  histories?: number;
  question?: string;
  /**
   * Documents that the caller sends along.
   */
  documents?: number;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Fixed".
 */
export interface Fixed {
  type: "fixed";
  value: number;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Uniform".
 */
export interface Uniform {
  type: "uniform";
  least: number;
  most: number;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "Lognormal".
 */
export interface Lognormal {
  type: "lognormal";
  median: number;
  /**
   * Standard deviation of the logarithm.
   */
  sigma: number;
  most: number;
}
/**
 * This interface was referenced by `Experiment`'s JSON-Schema
 * via the `definition` "ScheduledFault".
 */
export interface ScheduledFault {
  at: number;
  type: "slow" | "hang" | "crossed" | "late" | "drop" | "refuse" | "silent" | "leave" | "kill" | "clear";
  service?: Name;
  endpoint?: Name;
  dataCentre?: Name;
  /**
   * How many of the selected endpoints.
   */
  first?: number;
  factor?: number;
  share?: number;
  count?: number;
  for?: number;
}
