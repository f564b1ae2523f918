/** Order of a stream's events as their ids show it. It decides whether an answer
 * goes on with the stream, and whether one can be asked for.
 *
 * Ids that are numbers increase. Any others are compared for equality alone.
 * @module */

/** Longer numbers are compared as text: to parse them takes more time than is in
 * proportion to their length. */
const NUMBER = /^\d{1,100}$/;
/** What the value of a header can hold unchanged, in latin1. */
const HEADER_VALUE = /^[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?$/;

/** Whether each id was the number behind the one before it; undefined while there
 * is too little to tell. */
type Numbering = "consecutive" | "other" | undefined;

interface State {
  /** Event behind which the stream begins. */
  readonly resumedAfter?: string;
  /** First id that is known of the stream. */
  readonly firstId?: string;
  /** Of the events that have followed. */
  readonly lastSentId?: string;
  /** Whether the last event has an id. */
  readonly isPlaced: boolean;
  readonly highest?: bigint;
  readonly numbering: Numbering;
  /** Whether the next event is the first of another answer. */
  readonly isJoin: boolean;
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
      resumedAfter,
      firstId: resumedAfter,
      isPlaced: true,
      highest: numberOf(resumedAfter),
      numbering: undefined,
      isJoin: false,
    });
  }

  /** Id of the last event that has one, or of that behind which the stream begins. */
  get lastId(): string | undefined {
    return this.#state.lastSentId ?? this.#state.resumedAfter;
  }

  /** Id of the last event that has followed and has one. */
  get lastSentId(): string | undefined {
    return this.#state.lastSentId;
  }

  /** Whether an endpoint can be asked for the events behind the last one, or for
   * all while there are none. An event without an id would come twice. */
  get isResumable(): boolean {
    const { lastId } = this;
    const { isPlaced } = this.#state;
    return isPlaced && (lastId === undefined || HEADER_VALUE.test(lastId));
  }

  /** The same order, whose next event is that of another answer. */
  continued(): EventOrder {
    const isJoin = this.lastId !== undefined;
    return new EventOrder({ ...this.#state, isJoin });
  }

  /** Order behind the next event; undefined if that can't follow. */
  next(id: string | undefined): EventOrder | undefined {
    const { isJoin, highest, firstId } = this.#state;
    if (isJoin && !this.#goesOnWith(id)) return undefined;
    if (id === undefined) {
      return new EventOrder({ ...this.#state, isPlaced: false });
    }
    const number = numberOf(id);
    if (number !== undefined && highest !== undefined && number <= highest) {
      return undefined;
    }
    return new EventOrder({
      ...this.#state,
      firstId: firstId ?? id,
      lastSentId: id,
      isPlaced: true,
      highest: number ?? highest,
      numbering: this.#numberingWith(number),
      isJoin: false,
    });
  }

  /** Whether another answer may go on with an id. Where ids have been consecutive, a
   * number beyond the next one leaves out events; elsewhere that can't be told. */
  #goesOnWith(id: string | undefined): boolean {
    const { lastId } = this;
    const { firstId, numbering } = this.#state;
    if (id === undefined || id === "") return false;
    if (id === lastId || id === firstId) return false;
    const last = numberOf(lastId);
    if (last === undefined) return true;
    const number = numberOf(id);
    if (number === undefined) return false;
    return numbering !== "consecutive" || number === last + 1n;
  }

  #numberingWith(number: bigint | undefined): Numbering {
    const { lastId } = this;
    const { numbering } = this.#state;
    if (number === undefined || numbering === "other") return "other";
    if (lastId === undefined) return number <= 1n ? "consecutive" : undefined;
    const last = numberOf(lastId);
    return last !== undefined && number === last + 1n ? "consecutive" : "other";
  }
}

function numberOf(id: string | undefined): bigint | undefined {
  return id !== undefined && NUMBER.test(id) ? BigInt(id) : undefined;
}
