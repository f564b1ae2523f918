/** Immutable hash array mapped trie with string keys. Copies share structure:
 * a change copies one path of at most seven small nodes.
 * @module */

const BITS_PER_LEVEL = 5;
const BRANCH_WIDTH = 1 << BITS_PER_LEVEL;
const HASH_BITS = 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

interface Leaf<V> {
  type: "leaf";
  hash: number;
  key: string;
  value: V;
}

interface Branch<V> {
  type: "branch";
  /** Bit `n` is set if slot `n` is used. */
  map: number;
  nodes: readonly Node<V>[];
}

/** Keys with the same hash. */
interface Collision<V> {
  type: "collision";
  hash: number;
  leaves: readonly Leaf<V>[];
}

type Node<V> = Leaf<V> | Branch<V> | Collision<V>;

/** Immutable map from strings to `V`. */
export class Trie<V> {
  /** Number of keys. */
  readonly size: number;
  readonly #root: Node<V> | undefined;

  private constructor(root: Node<V> | undefined, size: number) {
    this.#root = root;
    this.size = size;
  }

  /** Creates a map of `entries`; of two equal keys the later one wins. */
  static create<V>(entries: Iterable<readonly [string, V]> = []): Trie<V> {
    let trie = new Trie<V>(undefined, 0);
    for (const [key, value] of entries) trie = trie.set(key, value);
    return trie;
  }

  /** Returns the value of `key`, if it has one. */
  get(key: string): V | undefined {
    if (this.#root === undefined) return undefined;
    return find(this.#root, key)?.value;
  }

  /** Returns a copy in which `key` has `value`. */
  set(key: string, value: V): Trie<V> {
    const leaf: Leaf<V> = { type: "leaf", hash: hashOf(key), key, value };
    if (this.#root === undefined) return new Trie<V>(leaf, 1);
    const known = find(this.#root, key) !== undefined;
    return new Trie(insert(this.#root, leaf, 0), this.size + (known ? 0 : 1));
  }

  /** Returns a copy without `key`. */
  delete(key: string): Trie<V> {
    if (this.#root === undefined || !find(this.#root, key)) return this;
    const leaf = { hash: hashOf(key), key };
    return new Trie(remove(this.#root, leaf, 0), this.size - 1);
  }

  /** Yields all keys with their values, in an order that depends on the keys
   * only. */
  *entries(): Generator<[string, V]> {
    if (this.#root !== undefined) yield* walk(this.#root);
  }
}

/** Returns the 32-bit FNV-1a hash of `key`; also used to distribute hosts over
 * publishers. */
export function hashOf(key: string): number {
  let hash = FNV_OFFSET;
  for (let pos = 0; pos < key.length; pos++) {
    hash = Math.imul(hash ^ key.charCodeAt(pos), FNV_PRIME);
  }
  return hash >>> 0;
}

function find<V>(root: Node<V>, key: string): Leaf<V> | undefined {
  const hash = hashOf(key);
  let node: Node<V> = root;
  for (let shift = 0; node.type === "branch"; shift += BITS_PER_LEVEL) {
    const bit = bitOf(hash, shift);
    if ((node.map & bit) === 0) return undefined;
    node = node.nodes[slotOf(node.map, bit)];
  }
  if (node.type === "leaf") return node.key === key ? node : undefined;
  return node.leaves.find((leaf) => leaf.key === key);
}

function insert<V>(node: Node<V>, leaf: Leaf<V>, shift: number): Node<V> {
  if (node.type === "branch") return insertIntoBranch(node, leaf, shift);
  if (node.type === "leaf" && node.key === leaf.key) return leaf;
  if (node.hash === leaf.hash) {
    const leaves = node.type === "leaf" ? [node] : node.leaves;
    return collisionOf([...leaves.filter(({ key }) => key !== leaf.key), leaf]);
  }
  return splitLeaves(node, leaf, shift);
}

function insertIntoBranch<V>(
  { map, nodes }: Branch<V>,
  leaf: Leaf<V>,
  shift: number,
): Node<V> {
  const bit = bitOf(leaf.hash, shift);
  const slot = slotOf(map, bit);
  if ((map & bit) === 0) {
    const grown = [...nodes.slice(0, slot), leaf, ...nodes.slice(slot)];
    return { type: "branch", map: map | bit, nodes: grown };
  }
  const child = insert(nodes[slot], leaf, shift + BITS_PER_LEVEL);
  return { type: "branch", map, nodes: nodes.with(slot, child) };
}

function remove<V>(
  node: Node<V>,
  leaf: { hash: number; key: string },
  shift: number,
): Node<V> | undefined {
  if (node.type === "leaf") return undefined;
  if (node.type === "collision") {
    return collisionOf(node.leaves.filter(({ key }) => key !== leaf.key));
  }
  const bit = bitOf(leaf.hash, shift);
  const slot = slotOf(node.map, bit);
  const child = remove(node.nodes[slot], leaf, shift + BITS_PER_LEVEL);
  if (child !== undefined) {
    return collapse(node.map, node.nodes.with(slot, child));
  }
  return collapse(node.map & ~bit, node.nodes.toSpliced(slot, 1));
}

/** Returns a branch, or its only node if that is not a branch itself. */
function collapse<V>(
  map: number,
  nodes: readonly Node<V>[],
): Node<V> | undefined {
  if (nodes.length === 0) return undefined;
  if (nodes.length === 1 && nodes[0].type !== "branch") return nodes[0];
  return { type: "branch", map, nodes };
}

function splitLeaves<V>(
  node: Leaf<V> | Collision<V>,
  leaf: Leaf<V>,
  shift: number,
): Node<V> {
  const one = bitOf(node.hash, shift);
  const other = bitOf(leaf.hash, shift);
  if (one === other && shift < HASH_BITS) {
    const child = splitLeaves(node, leaf, shift + BITS_PER_LEVEL);
    return { type: "branch", map: one, nodes: [child] };
  }
  const nodes = (one >>> 0) < (other >>> 0) ? [node, leaf] : [leaf, node];
  return { type: "branch", map: one | other, nodes };
}

function collisionOf<V>(leaves: readonly Leaf<V>[]): Node<V> {
  if (leaves.length === 1) return leaves[0];
  const sorted = leaves.toSorted((a, b) => a.key < b.key ? -1 : 1);
  return { type: "collision", hash: leaves[0].hash, leaves: sorted };
}

function* walk<V>(node: Node<V>): Generator<[string, V]> {
  if (node.type === "leaf") yield [node.key, node.value];
  else if (node.type === "collision") {
    for (const leaf of node.leaves) yield* walk(leaf);
  } else for (const below of node.nodes) yield* walk(below);
}

function bitOf(hash: number, shift: number): number {
  return 1 << ((hash >>> shift) & (BRANCH_WIDTH - 1));
}

function slotOf(map: number, bit: number): number {
  return countBits(map & (bit - 1));
}

function countBits(map: number): number {
  let bits = map - ((map >>> 1) & 0x55555555);
  bits = (bits & 0x33333333) + ((bits >>> 2) & 0x33333333);
  return Math.imul((bits + (bits >>> 4)) & 0x0f0f0f0f, 0x01010101) >>> 24;
}
