/*
 * The stand-in for a model engine: an OpenAI-compatible API, a bounded prefix cache and continuous batching.
 */
export * from "./EngineFaults";
export * from "./EngineRunRecord";
export * from "./EngineStandIn";
export * from "./EngineStandInOptions";
export * from "./FleetObserver";
export * from "./startEngineStandIn";
export * from "./WeightSource";
