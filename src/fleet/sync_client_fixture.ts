/** A follower whose control hosts are made up, for tests.
 * @module */

import * as fixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as followers from "./sync_client.ts";

/** Answers of control hosts by name; a host without one does not answer. */
export type Replies = Record<string, Partial<schema.SyncedReply> | undefined>;

/** Milliseconds of one step of the clock. */
export const STEP_MS = 50;

const BASE: schema.SyncedReply = {
  type: "synced",
  confirmed: true,
  version: 3,
  document: "three",
  epoch: "e",
  revision: 1,
  sightings: [],
  mark: "0",
  hosts: [],
  cores: ["a", "b"],
};

/** A sighting as another host tells it. */
export function sighting(
  change: Partial<schema.Sighting> = {},
): schema.Sighting {
  return { ...fixture.endpointStatus(), age: 0, ...change };
}

/** What a follower is made with. */
export interface FixtureOptions {
  readonly seeds?: readonly string[];
  readonly logger?: telemetry.Logger;
}

/** A follower of the hosts `a` and `b`, or of other seeds, whose answers may be
 * changed. */
export function createSyncClient(
  answers: Replies,
  { seeds = ["a", "b"], logger = telemetry.noLogger }: FixtureOptions = {},
) {
  const clock = new runtime.FakeClock();
  const asked: { core: string; question: schema.SyncQuestion }[] = [];
  const versions: string[] = [];
  const follower = followers.SyncClient.create({
    self: "me",
    dataCentre: "town",
    seeds,
    clock,
    random: { next: () => 0, below: () => 0 },
    logger,
    isReady: () => true,
    onVersion: (_, document) => void versions.push(document),
    onChange() {},
    onNewSource() {},
    onSuspects() {},
    onLimits() {},
    calls: {
      ask(core, question) {
        asked.push({ core, question: question as schema.SyncQuestion });
        const answer = answers[core];
        return answer === undefined
          ? Promise.reject(new Error("silent"))
          : Promise.resolve({ ...BASE, ...answer });
      },
    },
  });
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(STEP_MS);
      await new Promise(setImmediate);
    }
  };
  follower.start();
  return { follower, clock, asked, versions, run };
}
