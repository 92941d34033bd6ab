/*
 * The memory that the bodies of callers' requests occupy: who may read on, and who is refused first.
 */
export * from "./bodilessServerOptions";
export * from "./BodyAccount";
export * from "./BodyLimits";
export * from "./BodyOutcome";
export * from "./BodyReader";
export * from "./BodyState";
export * from "./ConnectionTurns";
export * from "./createBodyDiscard";
export * from "./createReadingTurns";
export * from "./createRequestMemory";
export * from "./dropHead";
export * from "./getConnectionLimit";
export * from "./getHeadBytes";
export * from "./getRequestMemoryBytes";
export * from "./getStalledBodies";
export * from "./limitBodilessServer";
export * from "./limitConnections";
export * from "./limitHeads";
export * from "./limitReadingTurns";
export * from "./ReadingTurns";
export * from "./readRequestBody";
export * from "./RequestMemory";
export * from "./TurnAccount";
export * from "./TurnReader";
export * from "./UnreadBody";
