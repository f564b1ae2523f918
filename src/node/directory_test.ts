import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as directories from "./directory.ts";

const ENDPOINT_COUNT = 100;

interface Fixture {
  clock: runtime.FakeClock;
  directory: directories.Directory;
  /** Number of endpoints at each call of `onChange`. */
  changes: number[];
}

function createFixture(): Fixture {
  const clock = new runtime.FakeClock();
  const changes: number[] = [];
  const directory = directories.Directory.create({
    host: "a",
    lease: 60_000,
    random: runtime.createRandom(1),
    clock,
    transport: { send: () => {} },
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    onChange: () => changes.push(directory.serving.length),
  });
  directory.start();
  return { clock, directory, changes };
}

async function announce({ directory }: Fixture, pos: number): Promise<void> {
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

test("the first endpoint that announces itself is published at once", async (t) => {
  const fixture = createFixture();
  await announce(fixture, 0);
  t.deepEqual(fixture.changes, [1]);
});

test("endpoints announced at the same time are published together", async (t) => {
  const fixture = createFixture();
  for (let pos = 0; pos < ENDPOINT_COUNT; pos++) await announce(fixture, pos);
  fixture.clock.advance(20);
  t.deepEqual(fixture.changes, [1, ENDPOINT_COUNT]);
});

test("a stopped directory publishes no pending changes", async (t) => {
  const fixture = createFixture();
  for (let pos = 0; pos < ENDPOINT_COUNT; pos++) await announce(fixture, pos);
  fixture.directory.stop();
  fixture.clock.advance(20);
  t.deepEqual(fixture.changes, [1]);
});
