/** Hashes that all hosts compute alike.
 * @module */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a hash of `text`, mixed so that all bits vary. */
export function text(text: string): number {
  let hash = FNV_OFFSET;
  for (let pos = 0; pos < text.length; pos++) {
    hash = Math.imul(hash ^ text.charCodeAt(pos), FNV_PRIME);
  }
  return finish(hash);
}

/** Combines two hashes into one. */
export function mix(left: number, right: number): number {
  return finish(Math.imul(left, 0x9e3779b1) ^ right);
}

function finish(hash: number): number {
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
