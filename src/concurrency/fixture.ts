/** Test doubles for tests and load models without brittle endpoints.
 * @module */

import type * as slotClients from "./slot_client.ts";

/** Slots that are never short. */
export function unlimitedSlots(): Pick<
  slotClients.SlotClient,
  "blockedEndpoints" | "isLimited" | "acquire" | "begin" | "end"
> {
  return {
    blockedEndpoints: [],
    isLimited: () => false,
    acquire: () => Promise.resolve(0),
    begin() {},
    end() {},
  };
}
