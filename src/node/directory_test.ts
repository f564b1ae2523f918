import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as directories from "./directory.ts";

const COMING = 100;

interface Bench {
  clock: runtime.FakeClock;
  directory: directories.Directory;
  /** Endpoints known at each change that was told. */
  told: number[];
}

function createBench(): Bench {
  const clock = new runtime.FakeClock();
  const told: number[] = [];
  const directory = directories.Directory.create({
    host: "a",
    lease: 60_000,
    random: runtime.createRandom(1),
    clock,
    transport: { send: () => {} },
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    onChange: () => told.push(directory.serving.length),
  });
  directory.start();
  return { clock, directory, told };
}

async function announce({ directory }: Bench, pos: number): Promise<void> {
  await directory.applyNotice({
    type: "announce",
    endpoint: `e${pos}`,
    announcement: {
      service: "billing",
      kind: "plain",
      url: "http://127.0.0.1:1",
      dataCentre: "hall",
    },
  });
}

test("one endpoint that comes is told at once", async (t) => {
  const bench = createBench();
  await announce(bench, 0);
  t.deepEqual(bench.told, [1]);
});

test("endpoints that come together are told together", async (t) => {
  const bench = createBench();
  for (let pos = 0; pos < COMING; pos++) await announce(bench, pos);
  bench.clock.advance(20);
  t.deepEqual(bench.told, [1, COMING]);
});

test("a stopped directory tells nothing more", async (t) => {
  const bench = createBench();
  for (let pos = 0; pos < COMING; pos++) await announce(bench, pos);
  bench.directory.stop();
  bench.clock.advance(20);
  t.deepEqual(bench.told, [1]);
});
