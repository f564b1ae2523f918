/** Types generated from schema/settings.yaml.
 * @module */

/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Name".
 */
export type Name = string;
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Port".
 */
export type Port = number;

/**
 * Settings of one host, read once at its start.
 */
export interface Settings {
  host: Name;
  /**
   * Data folder; required on a host that votes. `{host}` stands for the
   * host's id. Relative paths start from the folder of the settings file.
   *
   */
  folder?: string;
  fleet: Fleet;
  listen: Listen;
  /**
   * @minItems 1
   */
  services: [Service, ...Service[]];
  pipelines: Pipeline[];
  /**
   * Rows that the table starts with when it is empty.
   */
  table?: InitialRow[];
  operators?: Operator[];
  endpointToken?: Secret;
  limits?: Limits;
  log?: Log;
  metrics?: Metrics;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Fleet".
 */
export interface Fleet {
  key?: Secret;
  /**
   * @minItems 1
   */
  hosts: [Host, ...Host[]];
}
/**
 * A secret by reference, never by value.
 *
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Secret".
 */
export interface Secret {
  /**
   * Name of an environment variable.
   */
  env?: string;
  /**
   * Path of a file that holds it.
   */
  file?: string;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Host".
 */
export interface Host {
  id: Name;
  dataCentre: Name;
  region?: Name;
  /**
   * IP number other hosts dial.
   */
  address: string;
  port: Port;
  /**
   * Holds the replicated log on its disk.
   */
  voter?: boolean;
  /**
   * Passes the table on to hosts that do not vote.
   */
  observer?: boolean;
  listen?: Listen;
}
/**
 * Where callers and operators are served; a host's own goes first.
 *
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Listen".
 */
export interface Listen {
  callers: Listener;
  operators: Listener;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Listener".
 */
export interface Listener {
  /**
   * 127.0.0.1 when absent.
   */
  address?: string;
  port: Port;
  tls?: Tls;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Tls".
 */
export interface Tls {
  /**
   * Path of a PEM file.
   */
  certificate: string;
  /**
   * Path of a PEM file.
   */
  key: string;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Service".
 */
export interface Service {
  name: Name;
  kind: "engine" | "encoder" | "retriever" | "reranker" | "plain";
  model?: string;
  /**
   * Whether its calls may be repeated; true when absent.
   */
  idempotent?: boolean;
  /**
   * Calls an endpoint runs at once if it does not say; 8 when absent.
   */
  slots?: number;
  /**
   * Endpoints that do not announce themselves.
   */
  endpoints?: StaticEndpoint[];
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "StaticEndpoint".
 */
export interface StaticEndpoint {
  id: Name;
  url: string;
  dataCentre: Name;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Pipeline".
 */
export interface Pipeline {
  name: Name;
  /**
   * Milliseconds, when the caller names none; also the most it may name.
   */
  deadline: number;
  /**
   * @minItems 1
   * @maxItems 8
   */
  stages:
    | [Stage]
    | [Stage, Stage]
    | [Stage, Stage, Stage]
    | [Stage, Stage, Stage, Stage]
    | [Stage, Stage, Stage, Stage, Stage]
    | [Stage, Stage, Stage, Stage, Stage, Stage]
    | [Stage, Stage, Stage, Stage, Stage, Stage, Stage]
    | [Stage, Stage, Stage, Stage, Stage, Stage, Stage, Stage];
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Stage".
 */
export interface Stage {
  name: Name;
  service: Name;
  /**
   * Documents that a retriever or reranker keeps.
   */
  top?: number;
  /**
   * Most tokens that an engine generates.
   */
  maxTokens?: number;
  /**
   * Put before the prompt of an engine.
   */
  instruction?: string;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "InitialRow".
 */
export interface InitialRow {
  row: string;
  cells: {
    [k: string]: number | string | boolean;
  };
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Operator".
 */
export interface Operator {
  name: Name;
  token: Secret;
  /**
   * editor when absent.
   */
  role?: "reader" | "editor";
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Limits".
 */
export interface Limits {
  /**
   * Largest body; 4 MiB when absent.
   */
  bodyBytes?: number;
  /**
   * Largest stage answer; 16 MiB when absent.
   */
  answerBytes?: number;
  /**
   * Requests in a host at once; 1000 when absent.
   */
  inFlight?: number;
  /**
   * Milliseconds; 1500 when absent.
   */
  endpointLease?: number;
  /**
   * Loads of models a second over all engines, which the weight store allows; 1 when absent.
   */
  loadRate?: number;
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Log".
 */
export interface Log {
  level?: "debug" | "info" | "warn" | "error" | "silent";
}
/**
 * This interface was referenced by `Settings`'s JSON-Schema
 * via the `definition` "Metrics".
 */
export interface Metrics {
  address: string;
  port: Port;
  prefix?: string;
}
