/** The endpoints of a pool as the batchers of a host use them.
 * @module */

import type * as batching from "../batching/mod.ts";
import * as announcementRecords from "./announcement_records.ts";
import type * as endpointPools from "./endpoint_pool.ts";

/** Functions of a batcher that concern single endpoints. */
export type BatchEndpoints = Pick<
  batching.BatcherDependencies,
  | "recordHead"
  | "recordResponse"
  | "recordDurationRatio"
  | "sharedSlowness"
  | "acceptsCalls"
  | "endpointAt"
  | "backoff"
>;

/** Derives the functions from a pool. */
export function batchEndpointsOf(
  pool: endpointPools.EndpointPool,
  options: announcementRecords.RecordOptions,
): BatchEndpoints {
  const { clock } = options;
  return {
    recordHead(id, head) {
      const endpoint = pool.get(id);
      if (endpoint === undefined) return;
      announcementRecords.record(endpoint, head, options);
      endpoint.recordAnnouncedSlowness(head.load, clock.now());
    },
    recordDurationRatio: (id, ratio) =>
      pool.get(id)?.recordSlowness(ratio, clock.now()),
    sharedSlowness(id, now) {
      const endpoint = pool.get(id);
      const isUneven = endpoint?.performance.isUneven(now) ?? false;
      return isUneven ? endpoint!.slowness(now) : undefined;
    },
    recordResponse(id, { isRejection, startedAt }) {
      const endpoint = pool.get(id);
      endpoint?.recordHealth(isRejection ? "full" : "good", clock.now());
      if (!isRejection) endpoint?.rejections.recordAcceptance(startedAt);
    },
    acceptsCalls: (id) => pool.get(id)?.isAccepting(clock.now()) ?? false,
    endpointAt: (address) => pool.at(address)?.identity.id,
    backoff: (id) => pool.get(id)?.announcements.backoff(clock.now()) ?? 0,
  };
}
