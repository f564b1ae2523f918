/** What the request path takes from the table: accounts and policies.
 * @module */

import type * as table from "../control/table/mod.ts";
import type * as request from "../request/mod.ts";
import type * as schema from "../schema/table_types.ts";

const ACCOUNTS = "account/";
const KINDS = "kind/";

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

/** This host among all hosts that share a limit. */
export interface Share {
  /** Position of this host in an order that all hosts agree on. */
  pos: number;
  /** Number of hosts. */
  of: number;
}

/** Policies of accounts and kinds, limits cut down to this host's share. */
export function policiesOf(
  view: table.Table,
  share: Share,
): request.Policies {
  const rows = [...view.rows(ACCOUNTS), ...view.rows(KINDS)];
  return new Map(rows.map(({ row, cells }) => [row, policyOf(cells, share)]));
}

type Cells = table.Row["cells"];

function policyOf(cells: Cells, share: Share): request.Policy {
  const number = (column: schema.Column) => {
    const value = cells[column]?.value;
    return typeof value === "number" ? value : undefined;
  };
  return {
    weight: number("weight"),
    rate: divide(number("rate"), share),
    concurrency: divideWhole(number("concurrency"), share),
    deadline: number("deadline"),
    priority: number("priority"),
    spend: number("spend"),
  };
}

function divide(limit: number | undefined, share: Share) {
  return limit === undefined ? undefined : limit / share.of;
}

/** Whole shares that add up to the limit. */
function divideWhole(limit: number | undefined, { pos, of }: Share) {
  if (limit === undefined) return undefined;
  return Math.floor(limit / of) + (pos < limit % of ? 1 : 0);
}
