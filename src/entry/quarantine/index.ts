/*
 * The entry's part in the quarantine of requests that crash engines.
 */
export * from "./createQuarantineGate";
export * from "./createQuarantineView";
export * from "./QuarantineDecision";
export * from "./QuarantineGate";
export * from "./QuarantineGateOptions";
export * from "./QuarantineView";
