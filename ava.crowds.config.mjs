/** Tests that take a whole machine's attention for a while: one at a time. */
export default {
  files: ["dist/platform/crowds/*_test.js"],
  concurrency: 1,
  timeout: "5m",
};
