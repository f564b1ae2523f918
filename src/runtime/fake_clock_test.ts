import test from "ava";
import * as runtime from "./mod.ts";

test("fires timers in order of due time, then of creation", (t) => {
  const clock = new runtime.FakeClock();
  const fired: string[] = [];
  clock.after(20, () => fired.push("late"));
  clock.after(10, () => fired.push("first"));
  clock.after(10, () => fired.push("second"));
  clock.advance(20);
  t.deepEqual(fired, ["first", "second", "late"]);
  t.is(clock.now(), 20);
});

test("does not fire a cancelled timer", (t) => {
  const clock = new runtime.FakeClock();
  const cancel = clock.after(5, () => t.fail());
  cancel();
  clock.advance(10);
  t.pass();
});
