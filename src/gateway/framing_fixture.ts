/** Framings of endpoints' answers for tests.
 * @module */

/** An answer's framing: its header lines, and its body as it is sent. */
export type Framing = (body: string) => [lines: string, sent: string];

/** What marks the end of an answer, by its name in a call's record. */
export const FRAMINGS = {
  length: (body) => [`Content-Length: ${body.length}\r\n`, body],
  chunked: (body) => [
    "Transfer-Encoding: chunked\r\n",
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ],
  connection: (body) => ["", body],
} satisfies Record<string, Framing>;
