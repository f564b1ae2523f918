/** The slopes that docs/CAPACITY.md stands on.
 * @module */

import * as log from "./matters_log.ts";
import * as members from "./matters_members.ts";
import * as memory from "./matters_memory.ts";
import * as path from "./matters_path.ts";
import * as peers from "./matters_peers.ts";
import * as publishers from "./matters_publishers.ts";
import * as registry from "./matters_registry.ts";
import type * as slope from "./slope.ts";

/** Every slope, in the order of the page. */
export const all: readonly slope.Matter[] = [
  ...members.all,
  ...registry.all,
  ...peers.all,
  ...memory.all,
  ...path.all,
  ...log.all,
  ...publishers.all,
];
