/** Client of the operators' API, for the command line and for programs.
 * @module */

export {
  Client,
  type Options,
  type ReadPath,
  type Row,
  type View,
} from "./client.ts";
export { ClientError, exitCodes, type Failure } from "./client_error.ts";
export type { TableMessage } from "./watch.ts";
