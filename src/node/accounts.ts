/** What the request path takes from the table: accounts and policies.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as request from "../request/mod.ts";
import type * as schema from "../schema/table_types.ts";
import type * as shares from "../shares/mod.ts";

const ACCOUNTS = "account/";
const KINDS = "kind/";
const COLUMNS = ["rate", "concurrency"] as const;

/** Finds accounts by the hash of their token. */
export class Accounts {
  #byHash: ReadonlyMap<string, request.Account> = new Map();

  private constructor() {}

  /** An index without accounts. */
  static create(): Accounts {
    return new Accounts();
  }

  /** Follows the table. */
  update(view: table.Table): void {
    const accounts = view.rows(ACCOUNTS).flatMap(({ row, cells }) => {
      const tokenHash = cells.tokenHash?.value;
      if (typeof tokenHash !== "string") return [];
      return [{ name: row.slice(ACCOUNTS.length), tokenHash }];
    });
    this.#byHash = new Map(accounts.map((each) => [each.tokenHash, each]));
  }

  /** The account whose token has this hash. */
  find(tokenHash: string): request.Account | undefined {
    return this.#byHash.get(tokenHash);
  }
}

/** What this host may use of a limit of the fleet. */
export type ShareOf = (limit: shares.Limit) => number;

/** Rows of the table that make policies. */
export function rowsOf(view: table.Table): readonly table.Row[] {
  return [...view.rows(ACCOUNTS), ...view.rows(KINDS)];
}

/** Limits of the fleet by accounts and kinds. */
export function limitsOf(rows: readonly table.Row[]): shares.Limit[] {
  return rows.flatMap(({ row, cells }) =>
    COLUMNS.flatMap((column) => {
      const value = cells[column]?.value;
      return typeof value === "number" ? [{ row, column, limit: value }] : [];
    })
  );
}

/** Policies of accounts and kinds, limits cut down to this host's share. */
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
