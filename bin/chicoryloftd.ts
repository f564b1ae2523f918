#!/usr/bin/env node
/** Daemon that runs one host.
 * @module */

import * as daemon from "../src/node/daemon.ts";

process.exitCode = await daemon.main(process.argv.slice(2));
