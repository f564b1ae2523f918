/** Members, and the order in which one version of a member supersedes another.
 * @module */

import type * as schema from "../schema/membership_types.ts";
import * as digestMap from "./digest_map.ts";
import * as hash from "./hash.ts";

/** One version of what is known about a host. */
export type Member = schema.Member;

/** The members known to one host, including dead ones. */
export type Members = digestMap.DigestMap<Member>;

const RANK: Record<schema.MemberStatus, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether the member counts as alive; a suspect does until it is declared
 * dead. */
export function isLive(member: Member): boolean {
  return RANK[member.status] <= RANK.suspect;
}

/** Above 0 if `left` supersedes `right`: the later version published by the
 * host itself wins, then, within a version, the worse status. */
export function compare(left: Member, right: Member): number {
  return left.incarnation - right.incarnation ||
    left.sequence - right.sequence ||
    RANK[left.status] - RANK[right.status];
}

/** Returns an empty map. Its hashes cover live members only, so that hosts
 * which discarded a dead member at different times still have equal hashes. */
export function createMap(): Members {
  return digestMap.DigestMap.create<Member>((member) => {
    if (!isLive(member)) return 0;
    const version = hash.mix(member.incarnation, member.sequence);
    return hash.mix(hash.text(member.id), version);
  });
}
