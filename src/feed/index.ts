/*
 * How entries that forward opaque requests follow control: one poll at a time, each answer proved to be current.
 */
export * from "./addFeedService";
export * from "./createEntryRegistry";
export * from "./createFeedClient";
export * from "./createFeedHandler";
export * from "./createFeedState";
export * from "./DesiredWeights";
export * from "./EntryRegistry";
export * from "./FeedClient";
export * from "./FeedHandler";
export * from "./FeedHandlerOptions";
export * from "./FeedState";
export * from "./FeedStateOptions";
export * from "./FeedTaskOptions";
export * from "./FleetSource";
export * from "./PollResult";
export * from "./runFeed";
