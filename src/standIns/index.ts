/*
 * Stand-ins for the external systems that basilwing uses: HTTP servers with the APIs that its adapters call.
 */
export * from "./engine";
export * from "./kvCacheStore";
export * from "./platform";
export * from "./service";
export * from "./StandIn";
export * from "./weightStore";
