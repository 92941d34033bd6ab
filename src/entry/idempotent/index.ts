/*
 * Runs requests that may be repeated, which need no claim.
 */
export * from "./createIdempotentRunner";
