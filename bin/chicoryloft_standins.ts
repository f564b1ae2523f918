#!/usr/bin/env node
/** Starts the stand-ins of one deployment against given hosts, for runs by
 * hand.
 * @module */

import * as clipanion from "clipanion";
import * as command from "../standins/command.ts";

await clipanion.runExit({
  binaryLabel: "chicoryloft stand-ins",
  binaryName: "chicoryloft-standins",
  binaryVersion: "0.1.0",
}, command.StandIns);
