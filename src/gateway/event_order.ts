/** Order of a stream's events as their ids show it: those that are numbers increase.
 * @module */

/** Longer numbers are compared as text: to parse them takes more time than is in
 * proportion to their length. */
const NUMBER = /^\d{1,100}$/;
interface State {
  readonly lastId?: string;
  readonly highest?: bigint;
}

/** The events of a stream so far; immutable. */
export class EventOrder {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /** Order of a stream that begins behind an event, if any. */
  static create(
    { resumedAfter }: { readonly resumedAfter?: string } = {},
  ): EventOrder {
    return new EventOrder({
      lastId: resumedAfter,
      highest: numberOf(resumedAfter),
    });
  }

  /** Id of the last event that has one. */
  get lastId(): string | undefined {
    return this.#state.lastId;
  }

  /** Order behind the next event; undefined if that can't follow. */
  next(id: string | undefined): EventOrder | undefined {
    if (id === undefined) return this;
    const { highest } = this.#state;
    const number = numberOf(id);
    if (number !== undefined && highest !== undefined && number <= highest) {
      return undefined;
    }
    return new EventOrder({ lastId: id, highest: number ?? highest });
  }
}

function numberOf(id: string | undefined): bigint | undefined {
  return id !== undefined && NUMBER.test(id) ? BigInt(id) : undefined;
}
