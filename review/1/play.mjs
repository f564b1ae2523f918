// A process that takes clients is killed and starts again. Answers to what its
// former process had asked another one are taken for answers to what the new
// process asks: its requests get the results of other requests.

import { setTimeout as sleep } from "node:timers/promises";
import * as cases from "../lib/case.mjs";
import * as clients from "../lib/client.mjs";
import * as configurations from "../lib/configuration.mjs";
import { Engine, Ledger } from "../lib/engine.mjs";
import { until } from "../lib/fleet.mjs";

/** Requests a second, and milliseconds of traffic before the kill. */
const RATE = 30;
const KILL_AFTER = 1500;
/** Milliseconds until the process starts again, and of traffic after it. */
const RESTART_DELAY = 200;
const AFTER = 2000;
/** Milliseconds over which clients that lost their connection come again. */
const RETRY_SPREAD = 400;

const { configuration, modelService, route, stageService, KEY } =
  configurations;

const CONFIGURATION = configuration(7, {
  routes: [
    route("plans", {
      prefix: "/plans/",
      kind: "streaming",
      streamResume: true,
      maxAttempts: 2,
      service: "model",
      timeoutMs: 15_000,
      targetLatencyMs: 4000,
      gapAimMs: 200,
      stages: [{ service: "registry", after: [], bytes: 8000 }],
    }),
  ],
  services: [modelService("model"), stageService("registry")],
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
  const shared = { fleet, record, ledger };
  const engines = await Promise.all([
    Engine.start({ ...shared, service: "registry", slots: 1 }),
    Engine.start({ ...shared, service: "model", needsInputs: true }),
  ]);
  engines.forEach((each) => atEnd(() => each.stop()));
  const isReady = await until(async () => {
    const ready = await Promise.all(
      fleet.entry.map((host) => fleet.isReady(host)),
    );
    return ready.every((each) => each);
  });
  if (!isReady) throw new Error("the hosts did not become ready");
  await sleep(2000);
  const ask = (host) =>
    clients.send({ fleet, record }, {
      host,
      path: "/plans/a",
      key: KEY,
      deadline: 15_000,
      headers: {
        ...clients.promptHeaders(),
        "X-Pieces": "3",
        "X-Piece-Key": "7c1e07a291bd",
      },
    });
  // The host that collects the pieces of the service is another one.
  await Promise.all(fleet.entry.map(ask));
  const calls = await Promise.all(
    fleet.entry.map((host) => fleet.metric(host, "chicoryloft_pieces_calls")),
  );
  record.say(`calls for pieces by host: ${calls}`);
  const victim = fleet.entry[calls.indexOf(0)];
  if (victim === undefined) throw new Error("all hosts call for pieces");
  let isUp = true;
  const sent = [];
  // A client retries once after a failure, on a new connection, as soon as the
  // host takes connections again.
  const askTwice = async () => {
    const first = isUp ? await ask(victim) : { status: 0 };
    if (first.status !== 0) return first;
    await until(() => isUp);
    await sleep(RETRY_SPREAD * Math.random());
    return await ask(victim);
  };
  const press = async (duration) => {
    const end = performance.now() + duration;
    while (performance.now() < end) {
      sent.push(askTwice());
      await sleep(1000 / RATE);
    }
  };
  await press(KILL_AFTER);
  if (cases.hasTrouble) {
    record.say(`${victim} is killed`);
    isUp = false;
    await fleet.kill(victim);
    await press(RESTART_DELAY);
    fleet.start(victim);
    record.say(`${victim} starts again`);
    const isBack = await until(async () => {
      await press(50);
      return await fleet.isReady(victim);
    });
    if (!isBack) throw new Error("the host did not come back");
    isUp = true;
    record.say(`${victim} is ready`);
  }
  await press(AFTER);
  const answers = await Promise.all(sent);
  const served = answers.filter(({ status }) => status === 200).length;
  record.say(`${served} of ${answers.length} requests were served`);
  return ledger.runs.flatMap(({ id, made }) =>
    made.filter((each) => each.id !== id).map((each) =>
      `MIXED: request ${id} was run with the result of request ${each.id}`
    )
  );
}

await cases.run(import.meta.dirname, { control: 3, entry: 7 }, play);
