import test from "ava";
import * as text from "./text.ts";

const mine = { id: "0123456789ab", length: 3 };
const other = { id: "fedcba987654", length: 9 };

test("derives the whole answer from the marker", (t) => {
  const prompt = `Read ${text.write(mine)} and plan`;
  const answer = text.answer(prompt, 10);
  t.is(
    text.whole(answer),
    "w0-0123456789ab w1-0123456789ab z2-0123456789ab",
  );
  t.is(text.answer(prompt, 2).length, 2);
});

test("names another owner for a prompt that mixes two markers", (t) => {
  const mixed = text.write(mine) + text.write(other);
  t.regex(text.owner(mixed), /^x/);
  t.is(text.owner(text.write(mine)), mine.id);
});

test("carries the marker through an embedding", (t) => {
  const embedding = text.embed(`about ${text.write(other)}`);
  t.deepEqual(text.unembed(embedding), other);
  t.is(text.unembed(text.embed("about nobody")), undefined);
});

test("chains the hashes of whole blocks", (t) => {
  const block = "a".repeat(text.BLOCK_CHARACTERS);
  const hashes = text.prefix(block + block + "rest");
  t.is(hashes.length, 2);
  t.is(hashes[1], text.hash(hashes[0] + block));
});
