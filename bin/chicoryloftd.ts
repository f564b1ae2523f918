#!/usr/bin/env node
/** Daemon that runs one host.
 * @module */

import * as daemon from "../src/node/daemon.ts";

/** Milliseconds in which a stopped host ends by itself. */
const END_TIME = 1000;

process.exitCode = await daemon.main(process.argv.slice(2));
// Whatever still holds the process must not hold up a restart.
setTimeout(() => process.exit(), END_TIME).unref();
