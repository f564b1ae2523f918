/** Sums of what a play counts.
 * @module */

/** Sum of numbers; 0 of none. */
export function sum(numbers: readonly number[]): number {
  return numbers.reduce((one, other) => one + other, 0);
}
