/*
 * The origins of streams: which software version of a service began a stream, known to every entry process that a caller
 * may return to. Entry processes record origins at control members, which hold them in memory.
 */
export * from "./addStreamOriginService";
export * from "./createStreamOriginClient";
export * from "./createStreamOrigins";
export * from "./createStreamOriginStore";
export * from "./StreamOriginClient";
export * from "./StreamOriginReply";
export * from "./StreamOrigins";
export * from "./StreamOriginsOptions";
export * from "./StreamOriginStore";
