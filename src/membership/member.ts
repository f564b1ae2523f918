/** What one host knows of another, and which of two statements is newer.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as digestMap from "./digest_map.ts";
import * as hash from "./hash.ts";

export type Member = schema.Member;

/** All hosts that one host knows of, dead ones included. */
export type Members = digestMap.DigestMap<Member>;

const RANK: Record<schema.MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether the host counts as alive: a suspect does until it is dead. */
export function isLive(member: Member): boolean {
  return RANK[member.status] <= RANK.suspect;
}

/** Above 0 when `left` replaces `right`: a host's own later statement wins,
 * then the worse status under the same statement. */
export function compare(left: Member, right: Member): number {
  return left.incarnation - right.incarnation ||
    left.sequence - right.sequence ||
    RANK[left.status] - RANK[right.status];
}

/** An empty map whose hashes cover the live members only, so that hosts which
 * forgot a dead one at different times still agree. */
export function createMap(): Members {
  return digestMap.DigestMap.create<Member>((member) => {
    if (!isLive(member)) return 0;
    const version = hash.mix(member.incarnation, member.sequence);
    return hash.mix(hash.text(member.id), version);
  });
}
