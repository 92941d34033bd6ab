/*
 * Guards and errors. Expected outcomes are values; only a broken invariant is thrown to the top.
 */
export * from "./assertNever";
export * from "./createInvariantError";
export * from "./getErrorMessage";
export * from "./hasErrorCode";
