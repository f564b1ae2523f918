/** Prompts at engines of unequal speed, chosen by the owner of their
 * partition.
 * @module */

import * as endpointFixture from "../../src/endpoints/fixture.ts";
import * as callLoads from "../../src/gateway/call_load.ts";
import * as choices from "../../src/gateway/endpoint_choice.ts";
import type * as endpoints from "../../src/gateway/endpoint.ts";
import * as endpointPools from "../../src/gateway/endpoint_pool.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as queueModels from "./queue_model.ts";

const ENGINE_COUNT = 9;
const SLOTS = 8;
/** Share of the engines' capacity that the prompts take. */
const LOAD = 0.75;
/** Time after which first events are measured: the latency model and the
 * slowness are known by then. */
const WARM_UP_MS = 10_000;
/** Work of a first event at speed 1: a constant part, and prompt tokens for each
 * millisecond, 140 ms for a mean prompt. */
const FIRST_EVENT_MS = 20;
const TOKENS_PER_MS = 25;
const MAX_TOKENS = 6000;
const MEAN_WORK_MS = FIRST_EVENT_MS + MAX_TOKENS / 2 / TOKENS_PER_MS;
/** Further events of a stream, and the gap between them at speed 1. */
const EVENT_COUNT = 20;
const GAP_MS = 20;

/** Conditions of a run. */
export interface RunOptions extends queueModels.Variation {
  /** Whether the slowness of endpoints is estimated. */
  readonly isOn: boolean;
  /** Whether engines announce their momentary slowness with a stream's head. */
  readonly isAnnouncing?: boolean;
}

/** Engines chosen, and the time to each first event. */
export interface EngineRun {
  readonly chosen: readonly string[];
  readonly firstEvents: readonly number[];
}

/** One engine: it prefills one prompt after another, and a stream has a slot
 * until it ends. */
class Engine {
  readonly #clock: runtime.Clock;
  readonly machine: queueModels.Machine;
  readonly #slots = new queueModels.Station(SLOTS);
  readonly #prefill = new queueModels.Station(1);

  constructor(clock: runtime.Clock, machine: queueModels.Machine) {
    this.#clock = clock;
    this.machine = machine;
  }

  serve(tokens: number, onEvent: (index: number) => void): void {
    const work = FIRST_EVENT_MS + tokens / TOKENS_PER_MS;
    const emit = (index: number) => {
      onEvent(index);
      if (index < EVENT_COUNT) this.#after(GAP_MS, () => emit(index + 1));
      else this.#slots.leave();
    };
    this.#slots.enter(() =>
      this.#prefill.enter(() =>
        this.#after(work, () => {
          this.#prefill.leave();
          emit(0);
        })
      )
    );
  }

  #after(work: number, callback: () => void): void {
    const time = this.machine.timeFor(work, this.#clock.now());
    this.#clock.after(time, callback);
  }
}

/** Serves prompts for the duration of `options`. */
export function run(options: RunOptions): EngineRun {
  const { isOn, seed, duration, isAnnouncing = false } = options;
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(seed);
  const pool = endpointPools.EndpointPool.create({
    isPerformanceEnabled: isOn,
  });
  const ids = Array.from({ length: ENGINE_COUNT }, (_, index) => `e-${index}`);
  pool.update(
    ids.map((id) =>
      endpointFixture.entry({
        id,
        address: id,
        service: "models",
        slots: SLOTS,
      })
    ),
    (name) => ({ name, connections: 1, engine: { slots: SLOTS, tokens: 1e5 } }),
  );
  const machines = queueModels.Machine.createAll(ENGINE_COUNT, options);
  const engines = new Map(
    pool.endpointsOf("models").map(({ identity }, index) =>
      [identity.id, new Engine(clock, machines[index])] as const
    ),
  );
  const announce = (engine: endpoints.Endpoint) => {
    const { machine } = engines.get(engine.identity.id)!;
    const slowness = machine.factor(clock.now());
    const load = { running: 1, waiting: 0, slots: SLOTS, slowness };
    engine.recordAnnouncedSlowness(load, clock.now());
  };
  const chosen: string[] = [];
  const firstEvents: number[] = [];
  const arrive = () => {
    const inputTokens = random.below(MAX_TOKENS);
    const parts = [{ id: `own-${chosen.length}`, tokens: inputTokens }];
    const prompt = { model: "m", inputTokens, outputTokens: 20, parts };
    const arrivedAt = clock.now();
    const { engine } = choices.chooseEngine(
      pool.endpointsOf("models"),
      prompt,
      {
        now: arrivedAt,
        random,
        dataCentre: "town",
      },
    )!;
    chosen.push(engine.identity.id);
    const load = callLoads.CallLoad.start(engine, {
      clock,
      loadUpdates: { record() {} },
      prompt,
      prefillTokens: inputTokens,
    });
    engines.get(engine.identity.id)!.serve(inputTokens, (index) => {
      if (index > 0) load.recordEvent();
      else {
        if (isAnnouncing) announce(engine);
        load.recordFirstEvent();
      }
      if (index === 0 && arrivedAt >= WARM_UP_MS) {
        firstEvents.push(clock.now() - arrivedAt);
      }
      if (index === EVENT_COUNT) load.end({ isSuccess: true });
    });
  };
  const speed = machines.reduce((sum, machine) => sum + machine.meanSpeed, 0);
  const rate = LOAD * speed / MEAN_WORK_MS;
  queueModels.schedulePoisson(arrive, { clock, rate, until: duration, random });
  clock.advance(2 * duration);
  return { chosen, firstEvents };
}
