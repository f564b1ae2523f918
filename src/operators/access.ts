/** What the operators' API needs of a host. Control implements it for a fleet,
 * the local table for a host that is alone.
 * @module */

import type * as control from "../control/mod.ts";
import type * as table from "../control/table/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as settings from "../schema/settings_types.ts";
import type * as schema from "../schema/table_types.ts";

export type { EditResult, TableEvent, Watcher } from "../control/mod.ts";

/** The table as one host sees and edits it. */
export interface TableAccess {
  /** The table in force on this host; its revision never goes back. */
  view(): table.Table;
  /** Calls `watcher` on each change after this call. */
  watch(watcher: control.Watcher): runtime.Cancel;
  /** Applies a checked edit once, however often it is sent. */
  edit(edit: schema.Edit): Promise<control.EditResult>;
}

/** Whether a host takes requests. */
export type HostState = "ready" | "draining" | "drained";

/** How a host is. */
export interface Status {
  host: string;
  dataCentre: string;
  region?: string;
  version: string;
  state: HostState;
  /** Milliseconds since its start. */
  uptime: number;
  /** Revision of the table in force. */
  revision: number;
  /** Requests of callers in this host. */
  inFlight: number;
  /** Endpoints with a lease, as this host knows them. */
  endpoints: number;
  /** States of further parts, by name. */
  parts: Readonly<Record<string, unknown>>;
}

/** An endpoint as operators see it. */
export interface EndpointView {
  id: string;
  service: string;
  kind: string;
  dataCentre: string;
  url: string;
  state: string;
  slots: number;
  /** `static` when it is named in the settings. */
  source: "announced" | "static";
  /** Milliseconds that its lease still runs. */
  lease?: number;
}

/** One host towards its operators. */
export interface Host {
  readonly table: TableAccess;
  status(): Status;
  pipelines(): readonly settings.Pipeline[];
  endpoints(): readonly EndpointView[];
  /** State of all parts as plain JSON, without secrets. */
  dump(): unknown;
  /** Takes no new requests and finishes the others; the process stays. */
  drain(): void;
}
