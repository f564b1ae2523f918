/** Types generated from schema/caller.yaml.
 * @module */

/**
 * Body of a caller's request to a pipeline.
 */
export interface PipelineCall {
  input: PipelineInput;
  /**
   * Most tokens to generate, if less than the pipeline allows.
   */
  maxTokens?: number;
  /**
   * Whether the answer comes as server-sent events.
   */
  stream?: boolean;
}
/**
 * This interface was referenced by `PipelineCall`'s JSON-Schema
 * via the `definition` "PipelineInput".
 */
export interface PipelineInput {
  /**
   * What the request is about, such as a history or a roster.
   */
  text: string;
  question?: string;
  /**
   * Documents of the caller's, beside those retrieved.
   *
   * @maxItems 256
   */
  documents?: string[];
}
