/** Processor time that this process has used.
 * @module */

/** Milliseconds for which this process has run, on all of its threads. It stands
 * while the process is suspended, or waits for a core that others use. */
export function processorTime(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}
