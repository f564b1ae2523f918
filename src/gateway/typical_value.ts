/** Typical value of a quantity at the endpoints of a service: the geometric mean
 * of the values that an endpoint of slowness 1 would have given.
 *
 * A ratio to this mean, rather than to an arithmetic one, keeps the logarithms
 * of the slowness of a service's endpoints centred on 0. With an arithmetic mean
 * the typical value would grow with the spread of the values, and the slowness
 * of all endpoints would fall with it.
 * @module */

/** Least weight of a new value: the mean covers about the last hundred, as the
 * latency model of first events does. */
const MIN_WEIGHT = 0.01;

/** A typical value; changed in place. */
export class TypicalValue {
  #mean = 0;
  #count = 0;

  static create(): TypicalValue {
    return new TypicalValue();
  }

  /** The ratio of a value to the typical one; undefined before the first. */
  ratio(value: number): number | undefined {
    return this.#count === 0 ? undefined : value / Math.exp(this.#mean);
  }

  /** Learns from a value at an endpoint of the given lasting slowness. */
  observe(value: number, slowness: number): void {
    this.#count++;
    const weight = Math.max(MIN_WEIGHT, 1 / this.#count);
    this.#mean += weight * (Math.log(value / slowness) - this.#mean);
  }
}
