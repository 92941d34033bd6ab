/*
 * The entry process: the stateless HTTP gateway that callers connect to.
 */
export * from "./Entry";
export * from "./EntryOptions";
export * from "./startEntry";
