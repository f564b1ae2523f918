/** Rate limits that endpoints advertise in their responses, enforced across the
 * fleet.
 * @module */

export * from "./endpoint_limit.ts";
export * from "./quota_client.ts";
export * from "./quota_server.ts";
export * from "./token_bucket.ts";
