/** Tests that may run beside one another; those of crowds have a run of their
 * own. */
export default {
  files: ["dist/**/*_test.js", "!dist/platform/crowds/**"],
  timeout: "5m",
};
