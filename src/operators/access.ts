/** Interfaces through which the operators' API accesses a host. The table is
 * implemented by control for a fleet, and by `LocalTable` for a single host.
 * @module */

import type * as control from "../control/mod.ts";
import type * as table from "../control/table/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as schema from "../schema/table_types.ts";

export type { EditResult, TableEvent, TableListener } from "../control/mod.ts";

/** The table as one host sees and edits it. */
export interface TableAccess {
  /** The table in force on this host; its revision never decreases. */
  view(): table.Table;
  /** Calls `watcher` on each change after this call. */
  watch(watcher: control.TableListener): runtime.Cancel;
  /** Applies a validated edit; idempotent by the edit's operation id. */
  edit(edit: schema.Edit): Promise<control.EditResult>;
}

/** Whether a host takes requests. */
export type HostState = "ready" | "draining" | "drained";

/** Status of a host. */
export interface Status {
  host: string;
  dataCentre: string;
  region?: string;
  version: string;
  state: HostState;
  /** Milliseconds since the host started. */
  uptime: number;
  /** Revision of the table in force. */
  revision: number;
  /** Number of callers' requests in flight on this host. */
  inFlight: number;
  /** Number of endpoints that this host knows. */
  endpoints: number;
  /** Status of further parts, by name. */
  parts: Readonly<Record<string, unknown>>;
}

/** An endpoint as shown to operators. */
export interface EndpointView {
  id: string;
  service: string;
  kind: string;
  dataCentre: string;
  url: string;
  state: string;
  slots: number;
  /** `static` when the endpoint is configured in the settings. */
  source: "announced" | "static";
  /** Remaining time of its lease in milliseconds. */
  lease?: number;
}

/** The operations of a host that the operators' API exposes. */
export interface Host {
  readonly table: TableAccess;
  status(): Status;
  pipelines(): readonly settings.Pipeline[];
  endpoints(): readonly EndpointView[];
  /** State of all parts as JSON values, without secrets. */
  dump(): unknown;
  /** Refuses new requests and finishes those in flight; the process keeps
   * running. */
  drain(): void;
}
