/** How hosts without the replicated log follow the table and bring their
 * commands to the leader.
 * @module */

export * from "./command_server.ts";
export * from "./forwarder.ts";
export * from "./observer.ts";
export * from "./publisher.ts";
export { type Publishers, publishersOf, rank } from "./rank.ts";
export * from "./watcher.ts";
