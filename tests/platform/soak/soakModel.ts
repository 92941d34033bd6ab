/*
 * The only model that the engines of a soak serve.
 */

/** The model's name. */
export const soakModel = "soak-model";
