/*
 * How entries that forward opaque requests follow control: one poll at a time, each answer proved to be current.
 */
export * from "./addFeedService";
export * from "./createEntryRegister";
export * from "./createFeedConnection";
export * from "./createFeedHandler";
export * from "./createFeedState";
export * from "./EntryRegister";
export * from "./FeedAnswer";
export * from "./FeedConnection";
export * from "./FeedHandler";
export * from "./FeedHandlerOptions";
export * from "./FeedState";
export * from "./FeedStateOptions";
export * from "./FeedTaskOptions";
export * from "./FleetSource";
export * from "./runFeed";
export * from "./WantedWeights";
