/*
 * The ports of a soak, which are the same on all instances.
 */

/** The ports by listener; `internal` is the first of the range of internal ports. */
export const soakPorts = { caller: 8_080, readiness: 8_081, operator: 8_083, internal: 7_340 };
