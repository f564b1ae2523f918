/** Version of the package.
 * @module */

/** Equal to the one in package.json. */
export const VERSION = "0.1.0";
