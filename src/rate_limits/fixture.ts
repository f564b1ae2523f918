/** Stand-ins for tests and simulated loads in which no endpoint names a limit.
 * @module */

import type * as quotaClients from "./quota_client.ts";

/** Quotas that withhold nothing. */
export function openQuotas(): Pick<
  quotaClients.QuotaClient,
  "note" | "isLimited" | "isDue" | "withheld" | "take"
> {
  return {
    withheld: [],
    note() {},
    isLimited: () => false,
    isDue: () => false,
    take: () => Promise.resolve(0),
  };
}
