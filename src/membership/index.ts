/*
 * Which processes there are, which of them take work, and by what right this one acts.
 */
export * from "./Authority";
export * from "./Directory";
