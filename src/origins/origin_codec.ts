/** Conversion between origins and the messages that carry them. Times become
 * ages, since the clocks of hosts differ.
 * @module */

import type * as schema from "../schema/fleet_types.ts";
import type * as tables from "./origin_table.ts";

/** Encodes the origin of a stream. */
export function encode(
  stream: string,
  { origin, lifetime }: tables.KeptOrigin,
  now: number,
): schema.StreamOrigin {
  const { service, version, host, begunAt } = origin;
  const age = Math.max(0, Math.round(now - begunAt));
  return { stream, service, version, host, lifetime, age };
}

/** Decodes the origin of a stream. */
export function decode(
  { service, version, host, lifetime, age }: schema.StreamOrigin,
  now: number,
): tables.KeptOrigin {
  return { origin: { service, version, host, begunAt: now - age }, lifetime };
}
