/*
 * The limits that backend servers in need name with their responses: requests a second, from all entry processes
 * together. Entry processes report them to the leader of the control members, which divides them.
 */
export * from "./createLimitLedger";
export * from "./createServerLimits";
export * from "./getHolderCount";
export * from "./limitFactKind";
export * from "./LimitLedger";
export * from "./LimitStatement";
export * from "./publishLimitStatements";
export * from "./readLimitFacts";
export * from "./RequestLimit";
export * from "./runServerLimits";
export * from "./ServerLimits";
