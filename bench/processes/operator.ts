/** A client of the operators' interface, for runs against real processes.
 * @module */

import * as undici from "undici";
import type * as table from "../../src/schema/table_types.ts";

/** How a host answered an edit, as far as the client can tell. */
export type EditAnswer =
  | { type: "accepted"; revision: number }
  | { type: "conflict" }
  | { type: "not-run" }
  | { type: "unknown" }
  | { type: "rejected"; detail: string };

/** Row of the table as the operators' interface shows it. */
export interface Row {
  row: string;
  cells: Readonly<Record<string, table.Cell>>;
}

/** The whole table at one revision. */
export interface View {
  revision: number;
  rows: readonly Row[];
}

/** Most milliseconds one call may take. */
const TIMEOUT = 5_000;

/** Calls one host's operators' interface. */
export class Operator {
  readonly #url: string;
  readonly #headers: Record<string, string>;

  private constructor(url: string, token: string) {
    this.#url = url;
    this.#headers = {
      "authorization": `Bearer ${token}`,
      "content-type": "application/json",
    };
  }

  /** A client of the interface at `url`. */
  static create(url: string, token: string): Operator {
    return new Operator(url, token);
  }

  /** Sends one edit once. */
  async edit(edit: table.Edit): Promise<EditAnswer> {
    try {
      const { statusCode, body } = await this.#call("POST", "/v1/table/edits", {
        body: JSON.stringify(edit),
      });
      const answer = await body.json() as Record<string, unknown>;
      return readAnswer(statusCode, answer);
    } catch {
      return { type: "unknown" };
    }
  }

  /** Reads the table as this host has it in force. */
  async table(): Promise<View> {
    const { body } = await this.#call("GET", "/v1/table");
    return await body.json() as View;
  }

  /** Reads the status of this host. */
  async status(): Promise<Record<string, unknown>> {
    const { body } = await this.#call("GET", "/v1/status");
    return await body.json() as Record<string, unknown>;
  }

  /** Reads the state dump of this host. */
  async dump(): Promise<Record<string, unknown>> {
    const { body } = await this.#call("GET", "/v1/dump");
    return await body.json() as Record<string, unknown>;
  }

  #call(
    method: "GET" | "POST",
    path: string,
    options: { body?: string } = {},
  ): Promise<undici.Dispatcher.ResponseData> {
    return undici.request(`${this.#url}${path}`, {
      method,
      headers: this.#headers,
      body: options.body,
      signal: AbortSignal.timeout(TIMEOUT),
    });
  }
}

function readAnswer(
  status: number,
  answer: Record<string, unknown>,
): EditAnswer {
  if (status === 200) {
    return { type: "accepted", revision: Number(answer.revision) };
  }
  if (status === 409) return { type: "conflict" };
  if (status < 500) return { type: "rejected", detail: String(answer.detail) };
  if (answer.outcome === "not-run") return { type: "not-run" };
  return { type: "unknown" };
}
