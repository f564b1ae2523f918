#!/usr/bin/env node
/** Command line for operators.
 * @module */

import * as cli from "../src/operators/cli/main.ts";

process.exitCode = await cli.main(process.argv.slice(2));
