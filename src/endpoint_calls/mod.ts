/** HTTP client for endpoints, with one handler for each kind.
 * @module */

export * from "./endpoint_client.ts";
export * from "./call.ts";
export type { EndpointEvent, Publisher } from "./subscription.ts";
export { Subscriptions } from "./subscriptions.ts";
