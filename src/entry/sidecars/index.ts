/*
 * The entry's side of the links to sidecars.
 */
export * from "./AttemptFollowerOptions";
export * from "./AttemptTarget";
export * from "./createSidecarLink";
export * from "./followAttempt";
export * from "./FollowEvent";
export * from "./LinkEvent";
export * from "./SidecarLink";
