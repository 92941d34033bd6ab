/*
 * The ports of a soak, the same on all instances.
 */

/** Ports by what listens there. */
export const soakPorts = { caller: 8_080, readiness: 8_081, operator: 8_083, internal: 7_340 };
