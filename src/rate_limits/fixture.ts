/** Test doubles for tests and load models in which no endpoint advertises a
 * limit.
 * @module */

import type * as quotaClients from "./quota_client.ts";

/** Quotas that grant every request. */
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
