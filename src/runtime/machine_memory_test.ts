/** @module */

import test from "ava";
import * as machineMemory from "./machine_memory.ts";

test("a process takes a part of its machine's memory to be its own", (t) => {
  t.is(machineMemory.processShare(2e9), 5e8);
  t.is(machineMemory.processShare(64e9), 1e9);
});

test("a process keeps to a part of the memory that it is constrained to", (t) => {
  t.is(machineMemory.processShare(64e9, 4e8), 1e8);
  t.is(machineMemory.processShare(2e9, 2 ** 63), 5e8);
});

test("the memory that this process assumes is bounded", (t) => {
  const bytes = machineMemory.assumedMemory();
  t.true(bytes > 0 && bytes <= 1e9);
});
