#!/usr/bin/env node
/** Runs an experiment: load, faults, checks, report.
 * @module */

import * as clipanion from "clipanion";
import * as command from "../standins/experiment/command.ts";

await clipanion.runExit({
  binaryLabel: "chicoryloft load and experiment tool",
  binaryName: "chicoryloft-load",
  binaryVersion: "0.1.0",
}, command.Load);
