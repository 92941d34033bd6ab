/*
 * Creates and inspects errors. Expected outcomes are returned as values; only a violated invariant is left uncaught.
 */
export * from "./assertNever";
export * from "./createInvariantError";
export * from "./getErrorMessage";
export * from "./hasErrorCode";
