import test from "ava";
import * as sampler from "./sampler.ts";

const MEGABYTE = 1024 * 1024;

/** Looks every ten seconds at a process that grows by `growth` bytes each. */
function looks(pid: number, growth: number): sampler.Sample[] {
  return Array.from({ length: 19 }, (_, pos) => ({
    host: "h1",
    pid,
    at: pos * 10_000,
    cpu: pos * 100,
    resident: 50 * MEGABYTE + pos * growth,
  }));
}

test("a process that grows shows a slope", (t) => {
  const [life] = sampler.summarize(looks(1, 1024));
  t.is(life.kbPerMinute, 6);
  t.is(life.cpuPercent, 1);
  t.is(life.seconds, 180);
});

test("each process of a host is told apart", (t) => {
  const lives = sampler.summarize([...looks(1, 0), ...looks(2, 2048)]);
  t.deepEqual(lives.map(({ kbPerMinute }) => kbPerMinute), [0, 12]);
});
