/** Types generated from schema/watch.yaml.
 * @module */

/**
 * Messages by which hosts follow the table of another host.
 */
export type Message = Subscribe | Leave | Alive | Delta | Snapshot;
export type Revision = number;
export type Value = number | string | boolean | null;

/**
 * Starts or renews a watch, and says what the watcher has.
 */
export interface Subscribe {
  type: "subscribe";
  revision: Revision;
}
/**
 * Ends a watch.
 */
export interface Leave {
  type: "leave";
}
/**
 * The publisher lives and has nothing new.
 */
export interface Alive {
  type: "alive";
  revision: Revision;
  /**
   * Whether the publisher is in touch with the quorum.
   */
  current: boolean;
  /**
   * Host that takes edits, if known.
   */
  leader?: string;
}
/**
 * What changed after revision `from` up to `revision`.
 */
export interface Delta {
  type: "delta";
  from: Revision;
  revision: Revision;
  written: WrittenCell[];
}
/**
 * A cell as an edit left it; null when it was emptied.
 */
export interface WrittenCell {
  row: string;
  column: string;
  value: Value;
  version: number;
  actor: string;
}
/**
 * One part of a whole table.
 */
export interface Snapshot {
  type: "snapshot";
  revision: Revision;
  part: number;
  parts: number;
  rows: SnapshotRow[];
}
export interface SnapshotRow {
  row: string;
  cells: {
    [k: string]: SnapshotCell;
  };
}
export interface SnapshotCell {
  value: Value;
  version: number;
  actor: string;
}
