/** Hash functions with the same result on every host.
 * @module */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text, finalized so that every input bit
 * affects all output bits. */
export function text(text: string): number {
  let hash = FNV_OFFSET;
  for (let pos = 0; pos < text.length; pos++) {
    hash = Math.imul(hash ^ text.charCodeAt(pos), FNV_PRIME);
  }
  return finalize(hash);
}

/** Combines two hashes into one. */
export function mix(left: number, right: number): number {
  return finalize(Math.imul(left, 0x9e3779b1) ^ right);
}

function finalize(hash: number): number {
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
