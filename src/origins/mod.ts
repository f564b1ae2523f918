/** Origins of streams: the service and the software version at which each began.
 * A caller may resume a stream at any host, also when the host that began it is
 * gone, and a stream may continue only at the version that began it.
 * @module */

export * from "./origin.ts";
export * from "./origin_client.ts";
export * from "./origin_server.ts";
