// An engine deregisters and is acknowledged; right after that all processes of
// the core are killed, and are back within a second with their disks. The
// acknowledged deregistration is forgotten: requests go on to the engine until
// it exits.

import { setTimeout as sleep } from "node:timers/promises";
import * as cases from "../lib/case.mjs";
import * as clients from "../lib/client.mjs";
import * as configurations from "../lib/configuration.mjs";
import { Engine, Ledger } from "../lib/engine.mjs";
import { BOUNDS, until } from "../lib/fleet.mjs";

const RATE = 20;
/** Milliseconds until the core's processes start again. */
const RESTART_DELAY = 500;
/** Milliseconds for which the engine serves after the acknowledgement. */
const LINGER = 18_000;

const { configuration, plainService, route, KEY } = configurations;

const CONFIGURATION = configuration(7, {
  routes: [
    route("bookings", {
      prefix: "/bookings/",
      kind: "unsafe",
      service: "desk",
    }),
  ],
  services: [plainService("desk")],
});

async function play({ fleet, record, atEnd }) {
  const ledger = new Ledger();
  fleet.startAll();
  const placed = await fleet.order(
    "POST",
    "/v1/config/replace",
    CONFIGURATION,
  );
  if (placed.status !== 200) throw new Error("no configuration was taken");
  const shared = { fleet, record, ledger, service: "desk", slots: 6, workMs: 250 };
  const engines = await Promise.all([
    Engine.start(shared),
    Engine.start(shared),
    Engine.start(shared),
  ]);
  engines.forEach((each) => atEnd(() => each.stop()));
  const isReady = await until(async () => {
    const ready = await Promise.all(
      fleet.entry.map((host) => fleet.isReady(host)),
    );
    return ready.every((each) => each);
  });
  if (!isReady) throw new Error("the hosts did not become ready");
  // All control processes have joined the log, and the calm has lasted.
  await sleep(6000);

  let isOver = false;
  const sent = [];
  const sentAt = new Map();
  const pressing = (async () => {
    for (let turn = 0; !isOver; turn++) {
      const at = record.now;
      const asking = clients.send({ fleet, record }, {
        host: fleet.entry[turn % fleet.entry.length],
        path: "/bookings/a",
        key: KEY,
        deadline: 3000,
      });
      sent.push(asking.then((answer) => {
        sentAt.set(answer.id, at);
        return answer;
      }));
      await sleep(1000 / RATE);
    }
  })();
  await sleep(2000);

  const [leaving] = engines;
  const answer = await leaving.deregister();
  const acknowledgedAt = record.now;
  record.say(`${leaving.id} deregisters: ${answer.status}`);
  if (answer.status !== 200) throw new Error("not acknowledged");
  let calmFrom = acknowledgedAt + BOUNDS.drainMs;
  if (cases.hasTrouble) {
    await fleet.kill(...fleet.control);
    record.say("all processes of the core are killed");
    await sleep(RESTART_DELAY);
    for (const host of fleet.control) fleet.start(host);
    record.say("all processes of the core start again");
    // Machines are in touch contactMs after that; the whole time of a recovery
    // is given.
    calmFrom = Math.max(calmFrom, record.now + 1000 * BOUNDS.recoveryS);
  }
  await sleep(Math.max(0, acknowledgedAt + LINGER - record.now));
  await leaving.stop();
  record.say(`${leaving.id} exits`);
  await sleep(1000);
  isOver = true;
  await pressing;
  const answers = await Promise.all(sent);
  const late = ledger.runs.filter(({ engine, id }) =>
    engine === leaving.id && sentAt.get(id) > calmFrom
  );
  const failed = answers.filter(({ status }) => status !== 200);
  record.say(
    `${answers.length - failed.length} of ${answers.length} requests were ` +
      `served; others: ${failed.map(({ status }) => status).join(" ")}`,
  );
  return late.map(({ id, at }) =>
    `DRAIN: request ${id}, sent at ${sentAt.get(id)} ms, reached ` +
    `${leaving.id} at ${at} ms, ${at - acknowledgedAt} ms after the ` +
    "acknowledgement that it is gone"
  );
}

await cases.run(import.meta.dirname, { control: 5, entry: 3 }, play);
