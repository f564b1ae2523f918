/** Items at stage workers of unequal speed that announce their momentary
 * slowness.
 * @module */

import * as batchingFixture from "../../src/batching/fixture.ts";
import * as schedulers from "../../src/batching/scheduler.ts";
import type * as tasks from "../../src/batching/task.ts";
import * as configurationFixture from "../../src/configuration/fixture.ts";
import * as endpointFixture from "../../src/endpoints/fixture.ts";
import * as gateway from "../../src/gateway/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as queueModels from "./queue_model.ts";

const WORKER_COUNT = 9;
/** Share of the workers' capacity, with full calls, that the items take. */
const LOAD = 0.75;
/** Milliseconds from a stage's arrival until its items are due, and until they
 * expire: about two full calls at speed 1, and ten. */
const SLACK_MS = 300;
const LIFETIME_MS = 1500;
const MAX_ITEM_COUNT = 8;
const TRAITS = configurationFixture.batchTraits({ room: 1e9 });
const { batch, callTime, itemTime } = TRAITS;
const FULL_CALL_MS = callTime + batch * itemTime;

/** Conditions of a run. */
export interface RunOptions extends queueModels.Variation {
  /** Whether the slowness of endpoints is estimated. */
  readonly isOn: boolean;
}

/** Workers of the calls in order, and how many of the submitted items were
 * completed before they were due. */
export interface WorkerRun {
  readonly called: readonly string[];
  readonly submitted: number;
  readonly onTime: number;
}

/** Computes items for the duration of `options`. */
export function run(options: RunOptions): WorkerRun {
  const { isOn, seed, duration } = options;
  const clock = new runtime.FakeClock();
  const random = runtime.createRandom(seed);
  const pool = gateway.EndpointPool.create({ isPerformanceEnabled: isOn });
  pool.update(
    Array.from(
      { length: WORKER_COUNT },
      (_, index) =>
        endpointFixture.entry({ id: `w-${index}`, address: `w-${index}` }),
    ),
    (name) => ({ name, connections: 1, batching: TRAITS }),
  );
  const workers = pool.endpointsOf("desk").map(({ identity }) => identity);
  const machines = queueModels.Machine.createAll(WORKER_COUNT, options);
  const machineOf = ({ id }: tasks.Worker) =>
    machines[workers.findIndex((worker) => worker.id === id)];
  const endpoints = gateway.batchEndpointsOf(pool, {
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
  });
  const scheduler = schedulers.Scheduler.create(
    TRAITS,
    endpoints.sharedSlowness,
  );
  scheduler.setWorkers(workers);
  const called: string[] = [];
  let submitted = 0;
  let onTime = 0;
  let cancelWake = () => {};
  const complete = (assignment: tasks.Assignment, duration: number) => {
    const now = clock.now();
    const { id } = assignment.worker;
    const slowness = machineOf(assignment.worker).factor(now);
    const load = { running: 0, waiting: 0, slots: 1, slowness };
    endpoints.recordHead(id, { ...HEAD, load });
    const call = { results: [], duration, now };
    endpoints.recordDurationRatio(id, scheduler.completeCall(assignment, call));
    onTime += assignment.tasks.filter(({ dueAt }) => now <= dueAt).length;
    update();
  };
  const update = () => {
    const now = clock.now();
    scheduler.expire(now);
    for (const assignment of scheduler.assign(now)) {
      const { worker, tasks } = assignment;
      called.push(worker.id);
      const work = callTime + tasks.length * itemTime;
      const time = machineOf(worker).timeFor(work, now);
      clock.after(time, () => complete(assignment, time));
    }
    cancelWake();
    const wakeAt = scheduler.wakeAt(now);
    if (wakeAt === undefined) return;
    cancelWake = clock.after(wakeAt - now + 1, update);
  };
  const arrive = () => {
    const count = 1 + random.below(MAX_ITEM_COUNT);
    const now = clock.now();
    const change = { dueAt: now + SLACK_MS, expiresAt: now + LIFETIME_MS };
    scheduler.add(batchingFixture.tasks(`r-${submitted}`, count, change));
    submitted += count;
    update();
  };
  const speed = machines.reduce((sum, machine) => sum + machine.meanSpeed, 0);
  const rate = LOAD * speed * batch / FULL_CALL_MS / ((1 + MAX_ITEM_COUNT) / 2);
  queueModels.schedulePoisson(arrive, { clock, rate, until: duration, random });
  clock.advance(duration + 2 * LIFETIME_MS);
  return { called, submitted, onTime };
}

/** Head of an answer without announcements. */
const HEAD = {
  status: 200,
  isNotRun: false,
  isMisdirected: false,
  lacksInput: false,
  headers: {},
};
