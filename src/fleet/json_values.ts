/** Number of values in a JSON text, without parsing it: a short text may have so
 * many that they take a process's memory once they are parsed.
 * @module */

const CHARACTERS = [",", ":", "[", "{"];
const SEPARATORS = CHARACTERS.map((each) => each.charCodeAt(0));
/** Whether a byte may separate values, by its code. */
const IS_SEPARATOR = Uint8Array.from(
  { length: 256 },
  (_, code) => Number(SEPARATORS.includes(code)),
);

/** Whether a text has more values than `max`. Characters within strings count as if
 * they separated values. */
export function exceed(text: Uint8Array, max: number): boolean {
  if (text.length <= max) return false;
  let count = 0;
  for (let index = 0; index < text.length; index++) {
    count += IS_SEPARATOR[text[index]];
  }
  return count > max;
}
