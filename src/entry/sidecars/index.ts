/*
 * The calls that an entry process makes to sidecars: dispatching attempts and following their responses.
 */
export * from "./AttemptFollowerOptions";
export * from "./AttemptStreamEvent";
export * from "./AttemptTarget";
export * from "./createSidecarLink";
export * from "./followAttempt";
export * from "./LinkEvent";
export * from "./SidecarLink";
