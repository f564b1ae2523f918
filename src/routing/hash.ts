/** Stable hashes of names: the same on every host and in every run.
 * @module */

/** Unsigned 32-bit hash of a string (FNV-1a with the finalizer of
 * MurmurHash3). */
export function ofString(value: string, seed = 0): number {
  let hash = (0x811c9dc5 ^ seed) >>> 0;
  for (let pos = 0; pos < value.length; pos++) {
    hash = Math.imul(hash ^ value.charCodeAt(pos), 0x01000193);
  }
  return mix(hash);
}

/** Unsigned 32-bit hash of two hashes. */
export function combine(a: number, b: number): number {
  return mix(a ^ Math.imul(b, 0x9e3779b1));
}

/** Mixes the bits of a 32-bit number (finalizer of MurmurHash3). */
export function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
