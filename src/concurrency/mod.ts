/** Concurrency limits of brittle endpoints, which fail when they have to reject
 * too many calls: all hosts together send such an endpoint no more calls at once
 * than it has slots.
 * @module */

export * from "./slot_client.ts";
export * from "./slot_server.ts";
