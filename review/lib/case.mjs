// Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.

import * as path from "node:path";
import { Fleet } from "./fleet.mjs";
import { Record } from "./record.mjs";

/** The longest time that a case may take, in milliseconds. */
const MAX_TIME = 115_000;

/** Whether the disruption is played; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Plays `play`, which resolves with the breaks that it has seen. */
export async function run(folder, size, play) {
  const record = new Record(path.join(folder, "record.txt"));
  const closing = [];
  let fleet;
  let code = 2;
  const end = async () => {
    for (const close of closing) await close();
    await fleet?.stop();
  };
  const timer = setTimeout(async () => {
    record.say("the case took too long");
    await end();
    process.exit(2);
  }, MAX_TIME);
  try {
    fleet = await Fleet.create(size);
    const breaks = await play({
      fleet,
      record,
      atEnd: (close) => closing.push(close),
    });
    for (const each of breaks) record.add(`BROKEN ${each}`);
    record.say(
      breaks.length > 0
        ? `the rule was broken ${breaks.length} times; first: ${breaks[0]}`
        : "the rule held",
    );
    code = breaks.length > 0 ? 1 : 0;
  } catch (error) {
    record.say(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  await end();
  process.exit(code);
}
