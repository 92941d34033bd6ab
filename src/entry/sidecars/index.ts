/*
 * The entry's side of the links to sidecars.
 */
export * from "./AttemptFollowerOptions";
export * from "./AttemptStreamEvent";
export * from "./AttemptTarget";
export * from "./createSidecarLink";
export * from "./followAttempt";
export * from "./LinkEvent";
export * from "./SidecarLink";
