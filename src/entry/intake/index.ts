/*
 * Protects the entry process from overload and invalid input.
 */
export * from "./AdmissionGate";
export * from "./AdmissionLimits";
export * from "./createAdmissionGate";
export * from "./createInvalidInputLimiter";
export * from "./createRefusalSender";
export * from "./getClientErrorRefusal";
export * from "./InvalidInputLimiter";
export * from "./isInvalidInput";
export * from "./mayBeResend";
export * from "./RefusalSender";
export * from "./writeRawRefusal";
