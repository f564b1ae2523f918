/** The slopes that docs/CAPACITY.md stands on.
 * @module */

import type * as slope from "./slope.ts";

/** Every slope, in the order of the page. */
export const all: readonly slope.Matter[] = [];
