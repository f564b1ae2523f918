/** Processor time and memory of the daemons over a run.
 * @module */

import type * as daemon from "./daemon.ts";
import type * as fleets from "./fleet.ts";

/** One look at one process. */
export interface Sample extends daemon.Usage {
  host: string;
  pid: number;
  /** Milliseconds. */
  at: number;
}

/** What one process used. */
export interface Life {
  host: string;
  /** Seconds between the first and the last look. */
  seconds: number;
  /** Share of one core, in percent. */
  cpuPercent: number;
  /** Megabytes resident. */
  firstMb: number;
  lastMb: number;
  mostMb: number;
  /** Slope by least squares, first minute left out; absent when it lived for
   * less than two minutes. */
  kbPerMinute?: number;
}

const MEGABYTE = 1024 * 1024;
const MINUTE = 60_000;
const SHORTEST = 2 * MINUTE;

/** Looks at all daemons that run. */
export class Sampler {
  readonly #fleet: fleets.Fleet;
  readonly #samples: Sample[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: fleets.Fleet) {
    this.#fleet = fleet;
  }

  /** Looks every `interval` milliseconds. */
  start(interval: number): void {
    this.look();
    this.#timer = setInterval(() => this.look(), interval);
  }

  /** Looks a last time; what each process used. */
  stop(): Life[] {
    clearInterval(this.#timer);
    this.look();
    return summarize(this.#samples);
  }

  /** Looks once. */
  look(): void {
    const at = performance.now();
    for (const host of this.#fleet.hosts) {
      const daemon = this.#fleet.daemon(host);
      if (!daemon.running) continue;
      try {
        this.#samples.push({ host, pid: daemon.pid, at, ...daemon.usage() });
      } catch {
        // It ended between the two looks.
      }
    }
  }
}

/** What each process used, by its samples in order. */
export function summarize(samples: readonly Sample[]): Life[] {
  const lives = new Map<number, Sample[]>();
  for (const sample of samples) {
    const life = lives.get(sample.pid) ?? [];
    lives.set(sample.pid, life);
    life.push(sample);
  }
  return [...lives.values()].filter(({ length }) => length > 1).map(lifeOf);
}

function lifeOf(samples: readonly Sample[]): Life {
  const [first, last] = [samples[0], samples[samples.length - 1]];
  const time = last.at - first.at;
  const settled = samples.filter(({ at }) => at >= first.at + MINUTE);
  return {
    host: first.host,
    seconds: round(time / 1000),
    cpuPercent: round((last.cpu - first.cpu) * 100 / time),
    firstMb: round(first.resident / MEGABYTE),
    lastMb: round(last.resident / MEGABYTE),
    mostMb: round(Math.max(...samples.map((one) => one.resident)) / MEGABYTE),
    ...(time < SHORTEST ? {} : {
      kbPerMinute: round(slope(settled) * MINUTE / 1024),
    }),
  };
}

/** Bytes resident a millisecond, by least squares. */
function slope(samples: readonly Sample[]): number {
  const { length } = samples;
  const meanAt = samples.reduce((sum, { at }) => sum + at, 0) / length;
  const mean = samples.reduce((sum, one) => sum + one.resident, 0) / length;
  let [above, below] = [0, 0];
  for (const { at, resident } of samples) {
    above += (at - meanAt) * (resident - mean);
    below += (at - meanAt) ** 2;
  }
  return below === 0 ? 0 : above / below;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
