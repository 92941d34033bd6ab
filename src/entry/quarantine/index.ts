/*
 * The quarantine of requests that crash engines, as the entry process applies it.
 */
export * from "./createQuarantineGate";
export * from "./createQuarantineView";
export * from "./QuarantineDecision";
export * from "./QuarantineGate";
export * from "./QuarantineGateOptions";
export * from "./QuarantineView";
