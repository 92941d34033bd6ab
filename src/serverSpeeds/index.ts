/*
 * The speed of backend servers that share their machines with others.
 */
export * from "./createServerSpeeds";
export * from "./ServerSpeed";
export * from "./ServerSpeeds";
export * from "./SpeedEvidence";
