/*
 * The limits that backend servers in need name with their responses: requests a second, from all entry processes
 * together.
 */
export * from "./createServerLimits";
export * from "./RequestLimit";
export * from "./ServerLimits";
