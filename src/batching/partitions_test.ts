/** @module */

import test from "ava";
import * as cells from "./partitions.ts";
import * as fixture from "./fixture.ts";
import type * as works from "./task.ts";

function names(divided: readonly cells.Partition[]): string[] {
  return divided.map(({ name }) => name);
}

const anywhere = { request: "r", dataCentre: "town", isSound: () => true };

test("a few endpoints are one cell, wherever they are", (t) => {
  const [cell, ...others] = cells.partition(
    fixture.workersAt({ hall: 3, town: 3 }),
  );
  t.is(cell.workers.length, 6);
  t.is(cell.dataCentre, undefined);
  t.deepEqual(others, []);
});

test("more endpoints are divided by data centre, many there once more", (t) => {
  const divided = cells.partition(fixture.workersAt({ hall: 3, town: 13 }));
  t.deepEqual(names(divided), ["hall/0.1", "town/0.3", "town/1.3", "town/2.3"]);
  t.deepEqual(divided.map((cell) => cell.workers.length), [3, 5, 4, 4]);
});

test("hosts that heard of the endpoints in another order agree", (t) => {
  const known = fixture.workersAt({ hall: 4, town: 9 });
  const one = cells.partition(known);
  const other = cells.partition([...known].reverse());
  for (const { name, workers } of one) {
    const same = other.find((cell) => cell.name === name)!.workers;
    t.deepEqual(
      same.map(({ id }) => id).sort(),
      workers.map(({ id }) => id).sort(),
    );
  }
});

test("pieces are made where they are wanted", (t) => {
  const divided = cells.partition(fixture.workersAt({ hall: 4, town: 4 }));
  t.is(cells.select(divided, anywhere).name, "town/0.1");
  const [whole] = cells.partition(fixture.workersAt({ hall: 2 }));
  t.is(cells.select([whole], anywhere), whole);
});

test("they are made elsewhere where no endpoint there is sound", (t) => {
  const divided = cells.partition(fixture.workersAt({ hall: 4, town: 4 }));
  const isSound = ({ dataCentre }: works.Worker) => dataCentre === "hall";
  t.is(cells.select(divided, { ...anywhere, isSound }).name, "hall/0.1");
  const none = { ...anywhere, isSound: () => false };
  t.true(divided.includes(cells.select(divided, none)));
});

test("the name of a cell tells its data centre", (t) => {
  t.is(cells.dataCentreOf("town/1.3"), "town");
  t.is(cells.dataCentreOf(cells.partition([])[0].name), undefined);
});

test("a cell that this host does not know has all endpoints", (t) => {
  const known = fixture.workersAt({ hall: 1, town: 1 });
  t.is(cells.workersOf("town/0.1", known), known);
});

// The pattern: a few endpoints over many data centres, where each by itself is
// overloaded by a burst that all together take.
test("data centres with few endpoints share cells", (t) => {
  const counts = { a: 1, b: 2, c: 2, d: 2, e: 2 };
  const divided = cells.partition(fixture.workersAt(counts));
  t.deepEqual(divided.map(({ workers }) => workers.length), [5, 4]);
  for (const dataCentre of Object.keys(counts)) {
    const near = divided.filter((each) =>
      each.localDataCentres?.includes(dataCentre)
    );
    t.is(near.length, 1);
    const isSound = () => true;
    const wanted = { request: "r", dataCentre, isSound };
    t.is(cells.select(divided, wanted), near[0]);
  }
  t.true(divided.every(({ name }) => cells.dataCentreOf(name) === undefined));
});

test("endpoints that come and go in one data centre move no others", (t) => {
  const before = cells.partition(
    fixture.workersAt({ a: 1, b: 2, c: 2, d: 2, e: 2 }),
  );
  const after = cells.partition(
    fixture.workersAt({ a: 2, b: 2, c: 2, d: 1, e: 2 }),
  );
  const nears = (divided: readonly cells.Partition[]) =>
    divided.map(({ name, localDataCentres: near }) => ({ name, near }));
  t.deepEqual(nears(before), nears(after));
});
