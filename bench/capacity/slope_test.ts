import test from "ava";
import * as page from "./page.ts";
import * as slope from "./slope.ts";

function matter(points: readonly slope.Point[]): slope.Matter {
  return {
    name: "bytes of a row",
    role: "voter",
    per: "rows",
    unit: "bytes",
    target: 100,
    reason: "accounts",
    mechanism: "one copy",
    budget: 1_000,
    measure: () => Promise.resolve(points),
  };
}

test("reads the line through the points at the target size", async (t) => {
  const points = [{ size: 1, value: 12 }, { size: 2, value: 14 }];
  const measured = await slope.take(matter(points));
  t.is(measured.slope, 2);
  t.is(measured.expected, 210);
});

test("says on the page when a budget does not hold", async (t) => {
  const points = [{ size: 1, value: 12 }, { size: 2, value: 24 }];
  const measured = await slope.take(matter(points));
  t.true(page.tableOf([measured]).includes("| **no** |"));
});

test("refuses a page without a place for the table", (t) => {
  t.throws(() => page.fill("text", "voter", { text: "table" }));
});
