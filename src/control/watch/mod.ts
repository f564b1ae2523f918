/** Protocol by which hosts without a replica of the log watch the table and
 * forward their commands to the leader.
 * @module */

export * from "./command_server.ts";
export * from "./forwarder.ts";
export * from "./observer.ts";
export * from "./publisher.ts";
export {
  publisherOrder,
  type Publishers,
  rankPublishers,
} from "./publisher_order.ts";
export * from "./watcher.ts";
