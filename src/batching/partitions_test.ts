/** @module */

import test from "ava";
import * as partitions from "./partitions.ts";
import * as fixture from "./fixture.ts";
import type * as tasks from "./task.ts";

function names(all: readonly partitions.Partition[]): string[] {
  return all.map(({ name }) => name);
}

const anyRequest = {
  request: "r",
  dataCentre: "town",
  isAvailable: () => true,
};

test("a few endpoints form one partition, whatever their data centres", (t) => {
  const [partition, ...others] = partitions.partition(
    fixture.workersAt({ hall: 3, town: 3 }),
  );
  t.is(partition.workers.length, 6);
  t.is(partition.dataCentre, undefined);
  t.deepEqual(others, []);
});

test("many endpoints are partitioned by data centre, and large data centres again", (t) => {
  const all = partitions.partition(
    fixture.workersAt({ hall: 3, town: 13 }),
  );
  t.deepEqual(names(all), ["hall/0.1", "town/0.3", "town/1.3", "town/2.3"]);
  t.deepEqual(all.map((partition) => partition.workers.length), [3, 5, 4, 4]);
});

test("the partition does not depend on the order of endpoints", (t) => {
  const endpoints = fixture.workersAt({ hall: 4, town: 9 });
  const one = partitions.partition(endpoints);
  const other = partitions.partition([...endpoints].reverse());
  for (const { name, workers } of one) {
    const same = other.find((partition) => partition.name === name)!.workers;
    t.deepEqual(
      same.map(({ id }) => id).sort(),
      workers.map(({ id }) => id).sort(),
    );
  }
});

test("a partition of the request's data centre is selected", (t) => {
  const all = partitions.partition(fixture.workersAt({ hall: 4, town: 4 }));
  t.is(partitions.select(all, anyRequest).name, "town/0.1");
  const [whole] = partitions.partition(fixture.workersAt({ hall: 2 }));
  t.is(partitions.select([whole], anyRequest), whole);
});

test("another partition is selected if no endpoint of the data centre is available", (t) => {
  const all = partitions.partition(fixture.workersAt({ hall: 4, town: 4 }));
  const isAvailable = ({ dataCentre }: tasks.Worker) => dataCentre === "hall";
  t.is(
    partitions.select(all, { ...anyRequest, isAvailable }).name,
    "hall/0.1",
  );
  const none = { ...anyRequest, isAvailable: () => false };
  t.true(all.includes(partitions.select(all, none)));
});

test("the data centre of a partition follows from its name", (t) => {
  t.is(partitions.dataCentreOf("town/1.3"), "town");
  t.is(partitions.dataCentreOf(partitions.partition([])[0].name), undefined);
});

test("an unknown partition contains all endpoints", (t) => {
  const endpoints = fixture.workersAt({ hall: 1, town: 1 });
  t.is(partitions.workersOf("town/0.1", endpoints), endpoints);
});

// Guards against partitions of one or two endpoints, which a burst overloads
// although all endpoints together could serve it.
test("data centres with few endpoints share partitions", (t) => {
  const counts = { a: 1, b: 2, c: 2, d: 2, e: 2 };
  const all = partitions.partition(fixture.workersAt(counts));
  t.deepEqual(all.map(({ workers }) => workers.length), [5, 4]);
  for (const dataCentre of Object.keys(counts)) {
    const local = all.filter((each) =>
      each.localDataCentres?.includes(dataCentre)
    );
    t.is(local.length, 1);
    const isAvailable = () => true;
    const consumer = { request: "r", dataCentre, isAvailable };
    t.is(partitions.select(all, consumer), local[0]);
  }
  t.true(
    all.every(({ name }) => partitions.dataCentreOf(name) === undefined),
  );
});

test("a change of endpoints in one data centre moves no other data centre", (t) => {
  const before = partitions.partition(
    fixture.workersAt({ a: 1, b: 2, c: 2, d: 2, e: 2 }),
  );
  const after = partitions.partition(
    fixture.workersAt({ a: 2, b: 2, c: 2, d: 1, e: 2 }),
  );
  const localOf = (all: readonly partitions.Partition[]) =>
    all.map(({ name, localDataCentres }) => ({ name, localDataCentres }));
  t.deepEqual(localOf(before), localOf(after));
});
