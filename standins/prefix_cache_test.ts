import test from "ava";
import * as prefixCache from "./prefix_cache.ts";

test("matches the longest stored chain of blocks", (t) => {
  const cache = new prefixCache.PrefixCache(10);
  const { stored } = cache.store(["a", "b", "c"]);
  t.deepEqual(stored, ["a", "b", "c"]);
  t.is(cache.match(["a", "b", "x"]), 2);
  t.is(cache.match(["x", "a"]), 0);
  t.deepEqual(cache.chain("c"), ["a", "b", "c"]);
});

test("drops the least recently used block, children first", (t) => {
  const cache = new prefixCache.PrefixCache(3);
  cache.store(["a", "b"]);
  const { stored, removed } = cache.store(["x", "y"]);
  t.deepEqual(stored, ["x", "y"]);
  t.deepEqual(removed, ["b"]);
  t.is(cache.match(["a", "b"]), 1);
  t.is(cache.size, 3);
});

test("stores only as much of a chain as memory holds", (t) => {
  const cache = new prefixCache.PrefixCache(2);
  cache.store(["a", "b", "c"]);
  t.is(cache.match(["a", "b", "c"]), 2);
  t.is(cache.used, 1);
});
