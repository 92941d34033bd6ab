/*
 * The queue between reading requests and working on them.
 */
export * from "./createRequestQueue";
export * from "./QueuedRequest";
export * from "./RequestQueue";
export * from "./RequestQueueOptions";
