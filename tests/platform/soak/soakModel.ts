/*
 * The one model of a soak's engines.
 */

/** The model's name. */
export const soakModel = "soak-model";
