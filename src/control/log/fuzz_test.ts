import test from "ava";
import * as fuzz from "../../../bench/log_fuzz/mod.ts";

const FIRST_SEED = 1;
const SCHEDULES = 20;

/** Schedules that once failed. */
const FOUND = [
  // A host lost its folder again while its learner was being made a voter, and
  // a set with both left no majority.
  { seed: 322, voters: 3 },
  { seed: 350, voters: 3 },
  // The checker asked a leader of term 5, late to learn of its election, for
  // an entry of term 3 that was committed in term 6 only.
  { seed: 11417, voters: 5 },
  // All folders of a first start were lost one after another before anything
  // was committed; the second start took the same term as the first.
  { seed: 700524, voters: 3 },
  // The same within the second that the first start was in, after two tries to
  // found: terms of founding grew by one a second, tries come faster.
  { seed: 50366, voters: 3 },
];

for (const voters of [3, 5]) {
  test(`holds under seeded faults with ${voters} voters`, async (t) => {
    for (let count = 0; count < SCHEDULES; count++) {
      const seed = FIRST_SEED + count;
      await t.notThrowsAsync(
        fuzz.runSchedule({ seed, voters, duration: 6000 }),
        `seed ${seed}`,
      );
    }
  });
}

test("holds under seeded faults where settings name three of five hosts", async (t) => {
  for (let count = 0; count < SCHEDULES; count++) {
    const seed = FIRST_SEED + count;
    const run = { seed, voters: 5, named: 3, duration: 6000 };
    await t.notThrowsAsync(fuzz.runSchedule(run), `seed ${seed}`);
  }
});

for (const found of FOUND) {
  test(`holds under the schedule of seed ${found.seed}`, async (t) => {
    await t.notThrowsAsync(fuzz.runSchedule(found));
  });
}

/** Deliberate faults, and what the checker must say of them. */
const BREAKAGES: Record<string, [fuzz.Breakage, RegExp]> = {
  "a disk that acknowledges before it has synced": [
    { lyingDisks: true },
    /leads in term \d+ without|is lost|both applied|both lead/,
  ],
  "a lost folder under its old identity": [
    { sameIdentity: true },
    /leads in term \d+ without|is lost|both applied|both lead/,
  ],
  "votes that are granted whatever the term": [
    { looseVotes: true },
    /both lead|leads in term \d+ without/,
  ],
  "a lease that outlasts the election timeout": [
    { timing: { lease: 900 } },
    /hold the lease at once/,
  ],
};

for (const [name, [breakage, expected]] of Object.entries(BREAKAGES)) {
  test(`notices ${name}`, async (t) => {
    for (let seed = 1; seed <= 40; seed++) {
      const run = fuzz.runSchedule({ seed, voters: 3, breakage });
      const failure = await run.then(() => undefined, (cause) => cause);
      if (!(failure instanceof fuzz.Violation)) continue;
      if (!expected.test(failure.message)) continue;
      t.log(`seed ${seed}: ${failure.message}`);
      return t.pass();
    }
    t.fail("nothing was noticed");
  });
}
