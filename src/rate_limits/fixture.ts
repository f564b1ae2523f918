/** Stand-ins for tests and simulated loads in which no endpoint names a limit.
 * @module */

import type * as quotaClients from "./quota_client.ts";

/** Quotas that withhold nothing. */
export function unlimitedQuotas(): Pick<
  quotaClients.QuotaClient,
  "recordLimit" | "isLimited" | "needsProbe" | "blockedEndpoints" | "acquire"
> {
  return {
    blockedEndpoints: [],
    recordLimit() {},
    isLimited: () => false,
    needsProbe: () => false,
    acquire: () => Promise.resolve(0),
  };
}
