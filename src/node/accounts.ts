/** Derives the request path's accounts and policies from the table.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as request from "../request/mod.ts";
import type * as schema from "../schema/table_types.ts";
import type * as shares from "../shares/mod.ts";

const ACCOUNT_PREFIX = "account/";
const KIND_PREFIX = "kind/";
const LIMIT_COLUMNS = ["rate", "concurrency"] as const;

/** Index of accounts by the hash of their token. */
export class Accounts {
  #byHash: ReadonlyMap<string, request.Account> = new Map();

  private constructor() {}

  /** Creates an empty index. */
  static create(): Accounts {
    return new Accounts();
  }

  /** Rebuilds the index from the table. */
  update(view: table.Table): void {
    const accounts = view.rows(ACCOUNT_PREFIX).flatMap(({ row, cells }) => {
      const tokenHash = cells.tokenHash?.value;
      if (typeof tokenHash !== "string") return [];
      return [{ name: row.slice(ACCOUNT_PREFIX.length), tokenHash }];
    });
    this.#byHash = new Map(accounts.map((each) => [each.tokenHash, each]));
  }

  /** Finds the account whose token has this hash. */
  find(tokenHash: string): request.Account | undefined {
    return this.#byHash.get(tokenHash);
  }
}

/** Returns this host's share of a fleet-wide limit. */
export type ShareOf = (limit: shares.Limit) => number;

/** Rows of the table that define policies. */
export function rowsOf(view: table.Table): readonly table.Row[] {
  return [...view.rows(ACCOUNT_PREFIX), ...view.rows(KIND_PREFIX)];
}

/** Fleet-wide limits of accounts and kinds. */
export function limitsOf(rows: readonly table.Row[]): shares.Limit[] {
  return rows.flatMap(({ row, cells }) =>
    LIMIT_COLUMNS.flatMap((column) => {
      const value = cells[column]?.value;
      return typeof value === "number" ? [{ row, column, limit: value }] : [];
    })
  );
}

/** Policies of accounts and kinds, with limits reduced to this host's share. */
export function policiesOf(
  rows: readonly table.Row[],
  share: ShareOf,
): request.Policies {
  return new Map(rows.map((one) => [one.row, policyOf(one, share)]));
}

function policyOf(
  { row, cells }: table.Row,
  share: ShareOf,
): request.Policy {
  const number = (column: schema.Column) => {
    const value = cells[column]?.value;
    return typeof value === "number" ? value : undefined;
  };
  const shared = (column: schema.Column & shares.Limit["column"]) => {
    const limit = number(column);
    return limit === undefined ? undefined : share({ row, column, limit });
  };
  return {
    weight: number("weight"),
    rate: shared("rate"),
    concurrency: shared("concurrency"),
    deadline: number("deadline"),
    priority: number("priority"),
    spend: number("spend"),
  };
}
