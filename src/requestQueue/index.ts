/*
 * The queue between reading requests and working on them.
 */
export * from "./createRequestQueue";
export * from "./getRequestClass";
export * from "./getRequestWork";
export * from "./QueueDemand";
export * from "./QueuedRequest";
export * from "./QueueRefusal";
export * from "./RequestClass";
export * from "./RequestQueue";
export * from "./RequestQueueOptions";
