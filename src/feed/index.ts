/*
 * The feed by which entry processes that forward opaque requests receive the routing document and the fleet view from
 * the control members. An entry process sends one poll at a time, and each response is confirmed to be current.
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
export * from "./PollExtension";
export * from "./PollResult";
export * from "./ResponseExtension";
export * from "./runFeed";
