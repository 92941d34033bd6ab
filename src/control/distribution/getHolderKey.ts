/*
 * The key of one run of a process in tables.
 */

/** Gets the key of a run of a process: its instance id and incarnation, separated by a line feed. */
export function getHolderKey(holder: { instanceId: string; incarnation: string; }): string {
    return `${holder.instanceId}\n${holder.incarnation}`;
}
